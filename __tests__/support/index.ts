export { reservePort } from './ports.js';
export { ProgramGroup, RunningProgram, type ProgramExit, type ProgramOptions } from './programs.js';
export { SwallowingRelay, type RelayMode } from './relay.js';
export { waitFor } from './wait.js';
