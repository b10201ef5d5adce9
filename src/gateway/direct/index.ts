export { admitRequest, type Admission, type AdmissionInput, type Admitted } from './admission.js';
export { ConnectionShedder, type ConnectionShedderOptions } from './connection-shedder.js';
export { findConnectionLimit } from './connection-limit.js';
export {
  CrashLedger,
  type CrashAssessment,
  type PendingCrashes,
  type UpstreamCrash,
} from '../crashes/index.js';
export { CrashWatch, type CrashWatchOptions } from './crash-watch.js';
export { Delivery } from './delivery.js';
export type { DeliveryOutcome } from './delivery-outcome.js';
export type { ReceivedRequest } from './delivery-types.js';
export {
  DeliveryController,
  type ChoiceMode,
  type DeliveryEffect,
  type DeliveryEvent,
  type DeliveryOptions,
  type DeliveryDependencies,
} from './delivery-controller.js';
export type {
  ResponseMetadata,
  RequestMetadata,
  Dialect,
  RawHeaders,
  UpstreamRequestOptions,
  TokenCounts,
} from './dialect.js';
export { ResponseWriter, dropConnectionFields, listConnectionFields } from './response-writer.js';
export { DirectGateway, type DirectGatewayOptions } from './direct-gateway.js';
export {
  createDirectGatewayProcess,
  type DirectGatewayProcessOptions,
  type DirectGatewayProcess,
} from './direct-gateway-process.js';
export { DirectMetrics } from './direct-metrics.js';
export { QueuePlace, type QueuePlaceOptions } from './queue-place.js';
export { SharedRetryBudget, type RetryLimit } from './shared-retry-budget.js';
export { TrackedStream, StreamProgress, type ProgressReview } from './stream-progress.js';
export { UpstreamAttempt } from './upstream-attempt.js';
export { UpstreamConnections } from './upstream-connections.js';
export {
  UpstreamObserver,
  type AnsweredRequest,
  type UpstreamObserverOptions,
} from './upstream-observer.js';
export { probeUpstream, type ProbeVerdict } from '../../common/index.js';
export {
  WaitingRequests,
  type QueueObserver,
  type SlotRefusal,
  type WaitingRequest,
} from './waiting-requests.js';
