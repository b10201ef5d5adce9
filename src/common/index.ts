export { formatAddress, parseAddress, parseAddressOrThrow, type SocketAddress } from './address.js';
export { Blackboard } from './blackboard.js';
export { ByteBlocks } from './byte-blocks.js';
export { ByteBuffer } from './byte-buffer.js';
export { assertNever, type Controller } from './controller.js';
export {
  createFailure,
  encodeOutcome,
  FailureError,
  findResultCode,
  formatFailure,
  type Failure,
} from './failure.js';
export {
  LifecycleManager,
  type LifecycleObserver,
  type ManagedPart,
  type OpenOutcome,
} from './lifecycle.js';
export {
  createEntropySource,
  createIdentifier,
  createRandomSource,
  type RandomSource,
} from './random.js';
export {
  findResultCodeName,
  resultCodeNames,
  resultCodes,
  type ExecutionOutcome,
  type ResultCode,
  type ResultCodeName,
} from './result-codes/index.js';
export { systemClock, type Clock, type Milliseconds, type WallTime } from './time.js';
export { createLogger, type LogLevel } from './logging.js';
export { createMetrics, type Metrics, type MetricsTarget } from './metrics.js';
export { EventLoopWatch, type ProcessUsage } from './event-loop-watch.js';
export { runProcess } from './process-runner.js';
export { ProcessSignals, type CaughtSignal, type ReceivedSignal } from './process-signals.js';
export { parseItems, type ParsedItems } from './parse-items.js';
export { pause } from './pause.js';
export { closeServer, openServer } from './http-server.js';
export {
  endAfterBody,
  estimateJsonMemory,
  guardServer,
  InboundMemory,
  isBodyUnread,
  measureJson,
  memoryRetryAfter,
  receiveBody,
  type InboundHold,
  type ReceivedBody,
} from './inbound/index.js';
export { ServerDrain } from './server-drain.js';
export { createMetricsPage } from './metrics-page.js';
export { RateLimitedLog } from './rate-limited-log.js';
export { LogRateLimiter, type LogRateLimits } from './log-rate-limiter.js';
export { digest } from './digest.js';
export { parseJson } from './json.js';
export { parseDecimal } from './parse-decimal.js';
export { parseRetryAfter } from './parse-retry-after.js';
export {
  probeDelays,
  probeUntilRefused,
  probeUpstream,
  type ProbeVerdict,
} from './upstream-probe.js';
