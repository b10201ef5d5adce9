export { GroupWatch } from './group-watch.js';
export { HostHealth } from './host-health.js';
export { ReturnEstimate } from './return-estimate.js';
export {
  defaultHostHealthOptions,
  type HostHealthEffect,
  type HostHealthEvent,
  type HostHealthOptions,
  type HostSign,
  type HostStanding,
} from './types.js';
