export { DarkHost } from './dark-host.js';
export { EndlessResponse } from './endless-response.js';
export { Fleet, type ChatOptions, type FleetMember, type FleetOptions } from './fleet.js';
export {
  createFleetConfiguration,
  fleetKey,
  fleetModel,
  fleetService,
  type FleetAddresses,
} from './fleet-settings.js';
export { formatHead, OpenConnection, type RequestHead } from './open-connection.js';
export { reservePort } from './ports.js';
export { ProgramGroup, RunningProgram, type ProgramExit, type ProgramOptions } from './programs.js';
export { RawUpstream, type ConnectionEnd } from './raw-upstream.js';
export { RelayProcess } from './relay-process.js';
export { SwallowingRelay, type RelayMode } from './relay.js';
export { beginUnframed, writeAndReset } from './unframed-response.js';
export { waitFor } from './wait.js';
