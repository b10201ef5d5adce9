/**
 * The public entry: what a bench or a program that embeds parts of the system drives.
 * Decision controllers take events and give effects; carrying these out, with clock and randomness, is the caller's part.
 */

/** Result codes, failures, time and randomness. */
export {
  createEntropySource,
  createFailure,
  createRandomSource,
  findResultCode,
  findResultCodeName,
  LifecycleManager,
  resultCodeNames,
  resultCodes,
  systemClock,
  type Clock,
  type Controller,
  type ExecutionOutcome,
  type Failure,
  type ManagedPart,
  type Milliseconds,
  type RandomSource,
  type ResultCode,
  type ResultCodeName,
  type WallTime,
} from './common/index.js';

/** The model: hosts, groups, artifacts, configuration, attempts. */
export type * from './model/index.js';

/** Configuration documents. */
export {
  checkConfiguration,
  describeDifferences,
  emptyConfiguration,
  type CheckedConfiguration,
  type ConfigurationProblem,
} from './configuration/index.js';

/** The replicated state of control, and the log that feeds it. */
export {
  applyCommand,
  ControlStateMachine,
  initialControlState,
  type Change,
  type Command,
  type CommandAnswer,
  type ControlState,
} from './control/state/index.js';
export {
  ConsensusNode,
  createConsensusNode,
  type ConsensusObserver,
  type CreateConsensusNodeOptions,
  type LeadershipView,
  type StateMachine,
} from './consensus/index.js';

/** Who forms a group, and who vouches for it. */
export {
  planPlacement,
  type PlacementDecision,
  type PlacementEstimates,
  type PlacementHost,
  type PlacementInput,
} from './placement/index.js';
export {
  LeaseLead,
  LeaseMember,
  type LeaseLeadEffect,
  type LeaseLeadEvent,
  type LeaseLeadOptions,
  type LeaseMemberEffect,
  type LeaseMemberEvent,
  type LeaseMemberOptions,
} from './lease/index.js';
export {
  HostHealth,
  type HostHealthEffect,
  type HostHealthEvent,
  type HostHealthOptions,
} from './control/hosts/index.js';

/** The two ends of an attempt, and what a sidecar does beside it. */
export {
  RequestController,
  Router,
  type RequestEffect,
  type RequestEvent,
  type RequestFacts,
  type RequestDependencies,
} from './gateway/index.js';
export {
  AttemptController,
  defaultAttemptLimits,
  type AttemptEffect,
  type AttemptEvent,
  type AttemptLimits,
} from './sidecar/attempts/index.js';
export { DrainController, type DrainEffect, type DrainEvent } from './sidecar/drain/index.js';
export {
  defaultOrderOptions,
  OrderController,
  type OrderEffect,
  type OrderEvent,
  type OrderOptions,
} from './sidecar/orders/index.js';

/** What a watcher believes of control. */
export { WatchedStateTracker, type WatchEvent, type WatchVerdict } from './watch/index.js';

/** Whole processes, as parts for a {@link LifecycleManager}. */
export { ControlProcess, type ControlProcessOptions } from './control/index.js';
export { createGatewayParts, type GatewayProcessOptions } from './gateway/index.js';
export { SidecarProcess, type SidecarProcessOptions } from './sidecar/index.js';
export {
  controlSettingsSchema,
  gatewaySettingsSchema,
  sidecarSettingsSchema,
  type ControlSettings,
  type GatewaySettings,
  type SidecarSettings,
} from './settings/index.js';
