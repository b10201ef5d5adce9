export { HostHealth, type ObservedHost } from './host-health.js';
export { ReturnEstimate } from './return-estimate.js';
export {
  defaultHostHealthOptions,
  type HostHealthEffect,
  type HostHealthEvent,
  type HostHealthOptions,
  type HostReport,
  type HostStanding,
} from './types.js';
