export { GroupWatch } from './incomplete-group-tracker.js';
export { HostHealth } from './host-health.js';
export { ReturnEstimate } from './return-estimator.js';
export {
  defaultHostHealthOptions,
  type HostHealthEffect,
  type HostHealthEvent,
  type HostHealthOptions,
  type HostSign,
  type HostStatus,
} from './types.js';
