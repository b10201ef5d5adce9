export { DemandEstimator } from './demand-estimator.js';
export {
  EngineDirectory,
  type EngineReportVerdict,
  type ReceivedReport,
} from './engine-directory.js';
export {
  InstanceTracker,
  type AnnouncementVerdict,
  type InstanceChanges,
} from './instance-tracker.js';
export { EvacuationControl, type EvacuationControlOptions } from './evacuation-control.js';
export { InstanceRecorder } from './instance-recorder.js';
export { ModelOutcomes } from './model-outcomes.js';
export { LeaderClient, type LeaderClientOptions } from './leader-client.js';
export { LoadBudget } from './load-budget.js';
export { PermitAllocator, type PermitAnswer, type PermitRequest } from './permit-allocator.js';
export { PlanPacing } from './plan-pacing.js';
export { ReadBarrier } from './read-barrier.js';
export { RoutingControl, type RoutingControlOptions } from './routing-control.js';
export { RoutingHub, type ControlStatus } from './routing-hub.js';
export { QuarantineObserver, type QuarantineObserverOptions } from './quarantine-observer.js';
