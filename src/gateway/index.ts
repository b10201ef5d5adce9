export type { ClaimClient, ClaimOutcome, ClaimRequest, ClaimSettlement } from './claims.js';
export { defaultRequestLimits, type RequestLimits } from './limits.js';
export { LoadTracker } from './load-tracker.js';
export type {
  AttemptTarget,
  RequestEffect,
  RequestEvent,
  RequestFacts,
  StreamEvent,
} from './messages.js';
export { noMetrics, type Metrics, type MetricTags } from './metrics.js';
export { RequestController, type RequestDependencies } from './request-controller.js';
export { isSuccess } from './response-status.js';
export { RetryBudget } from './retry-budget.js';
export { Router, type RouteQuery, type RouteDecision } from './router.js';
export { createGateway, Gateway } from './shell/gateway.js';
export {
  defaultCallerLimits,
  defaultDrainLimits,
  type DrainLimits,
  type GatewayOptions,
} from './shell/gateway-options.js';
export { createGatewayParts, type GatewayProcessOptions } from './shell/gateway-process.js';
export type { CallerLimits, RequestOutcome } from './shell/request-runner.js';
export {
  createDirectGatewayProcess,
  type ResponseMetadata,
  type RequestMetadata,
  type Dialect,
  type DirectGatewayProcessOptions,
  type DirectGatewayProcess,
  type RawHeaders,
  type UpstreamRequestOptions,
  type TokenCounts,
  dropConnectionFields,
  listConnectionFields,
} from './direct/index.js';
