export {
  findBurst,
  findOwnRate,
  findSharedRate,
  ownShareDelay,
  rateLifetime,
  shareReservation,
  type ColdAcknowledgement,
  type ColdAnswer,
  type ColdDemand,
  type ColdLimit,
  type ColdReport,
} from './cold-limits.js';
export { ColdRecords, type ColdNotice } from './cold-records.js';
export type { ColdBounds } from './cold-requests.js';
export { choosePreferredTargets, type GatewayPosition } from './head-subset.js';
export { chooseByTime, type TimeBudget, type TimedCandidate } from './choice-by-time.js';
export { DomainDelays } from './domain-delays.js';
export { FirstEventTimes, groupResponsiveness, type DispatchLoad } from './first-event-times.js';
export { GroupBounds, type BoundedRequest, type GroupBoundsOptions } from './group-bounds.js';
export { MemoryBudget, type HeldMemory, type MemoryRelief } from './memory-budget.js';
export { RequestPermits, type GrantedPermits, type PermitReport } from './request-permits.js';
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
export { UpstreamAvailability, type Unavailability } from './upstream-availability.js';
export { AccountShares } from './account-shares.js';
export { AccountWork } from './account-work.js';
export { FairQueue, type FairRequest, type QueuedRequest } from './fair-queue.js';
export type { DropReason, DroppedEntry, QueueEntry, RequestQueue } from './request-queue.js';
export { ReturnSchedule } from './return-schedule.js';
export { StartTimes } from './start-times.js';
export { UrgencyQueue, type UrgencyQueueOptions } from './urgency-queue.js';
export {
  Evacuations,
  splitByStanding,
  type DomainStanding,
  type EvacuationChanges,
  type KnownEvacuations,
} from './evacuations.js';
