export { SidecarProcess, type SidecarProcessOptions } from './shell/sidecar-process.js';
