export { choosePreferredTargets, type GatewayPosition } from './head-subset.js';
export { chooseByTime, type TimeBudget, type TimedCandidate } from './choice-by-time.js';
export { DomainDelays } from './domain-delays.js';
export { FirstEventTimes, groupResponsiveness, type DispatchLoad } from './first-event-times.js';
export { GroupBounds, type BoundedRequest, type GroupBoundsOptions } from './group-bounds.js';
export {
  TargetChooser,
  type ChoiceObserver,
  type RequestWork,
  type TargetChoice,
  type TargetChooserOptions,
  type TargetCriteria,
} from './target.js';
export type { Target } from './target-list.js';
export { TargetLoads, type KnownLoad, type UpstreamLoad } from './target-loads.js';
export { UpstreamTimes, type Dispatch, type TimedRequest } from './upstream-times.js';
export { UpstreamFailures } from './upstream-failures.js';
export type { UpstreamAvailability, UpstreamPermits } from './upstream-permission.js';
