export { AttemptController } from './attempt-controller.js';
export {
  AttemptService,
  createAttemptService,
  type AttemptServiceOptions,
  type GroupAdmission,
} from './attempt-service.js';
export { isEventStream } from './event-stream.js';
export type {
  AttemptEffect,
  AttemptEvent,
  AttemptKey,
  AttemptMessage,
  GroupSnapshot,
  HeaderField,
  SubscriberId,
  UpstreamRequest,
} from './messages.js';
export { defaultAttemptLimits, type AttemptLimits } from './limits.js';
export { createRequestId, readRequestTime } from './request-identifier.js';
export {
  HttpUpstreamClient,
  type UpstreamResponse,
  type UpstreamClient,
} from './upstream-client.js';
export { UpstreamCrashes, type UpstreamCrashesOptions } from './upstream-crashes.js';
