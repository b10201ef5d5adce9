export { choosePreferredTargets, type GatewayPosition } from './head-subset.js';
export { FirstEventTimes, type DispatchLoad } from './first-event-times.js';
export { GroupBounds, type BoundedRequest, type GroupBoundsOptions } from './group-bounds.js';
export {
  TargetChooser,
  type RequestWork,
  type Target,
  type TargetChoice,
  type TargetChooserOptions,
  type TargetCriteria,
} from './target.js';
export { TargetLoads, type KnownLoad, type UpstreamLoad } from './target-loads.js';
export { UpstreamTimes, type Dispatch, type TimedRequest } from './upstream-times.js';
export type { UpstreamAvailability, UpstreamPermits } from './upstream-permission.js';
