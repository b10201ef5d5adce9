export { StandbyControl } from './standby-control.js';
export { ControlClient, type ControlClientOptions } from './control-client.js';
export { HostDirectory, type HostReport, type ReportedHost } from './host-directory.js';
export { decodeReport, encodeReport } from './report-codec.js';
export { ControlProcess, type ControlProcessOptions } from './shell/control-process.js';
export type { EvacuationAction } from './state/index.js';
export type { RoutingControl } from './routing/index.js';
