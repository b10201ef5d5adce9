export { IncompleteGroupTracker } from './incomplete-group-tracker.js';
export { HostHealth } from './host-health.js';
export { ReturnEstimator } from './return-estimator.js';
export {
  defaultHostHealthOptions,
  type HostHealthEffect,
  type HostHealthEvent,
  type HostHealthOptions,
  type HostHealthReport,
  type HostStatus,
} from './types.js';
