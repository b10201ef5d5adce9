export { describeIssues, type SchemaFinding } from './check.js';
export { readProcessFlags, type ProcessFlags } from './command-line.js';
export {
  controlSettingsSchema,
  countWantedVoters,
  findControlAddress,
  type ControlSettings,
} from './control-settings.js';
export { gatewaySettingsSchema, type GatewaySettings } from './gateway-settings.js';
export { loadSettings, parseSettings, type SettingsProblem } from './load.js';
export { parseOverride, type SettingsOverride } from './override.js';
export {
  formatPath,
  formatProblem,
  type DocumentProblem,
  type ProblemLocation,
} from './problem.js';
export { sidecarSettingsSchema, type SidecarSettings } from './sidecar-settings.js';
export { TextDocument } from './text-document.js';
export {
  readProcessSettings,
  readSettingsWithFile,
  type SettingsWithFile,
} from './process-settings.js';
export { SettingsWatcher, type SettingsWatcherOptions } from './settings-watcher.js';
export {
  engineSidecarSettingsSchema,
  type EngineSidecarSettings,
} from './engine-sidecar-settings.js';
export { addControlAddresses } from './common-settings.js';
export {
  routingGatewaySettingsObject,
  routingGatewaySettingsSchema,
  type RoutingGatewaySettings,
} from './routing-gateway-settings.js';
export { listenAddress as listenAddressSchema } from './address.js';
