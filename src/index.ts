/**
 * Public entry point for benches and for programs that embed parts of the system.
 * Decision controllers take events and return effects. The caller executes the effects and supplies clock and randomness.
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

/** The replicated state machine of control, and the consensus log that feeds it. */
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

/** Placement of groups, the leases that keep them serving, and host health. */
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

/** Both sides of an attempt (gateway and sidecar), and the sidecar's draining and orders. */
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

/** The state that a watcher of control keeps. */
export { WatchedStateTracker, type WatchEvent, type WatchVerdict } from './watch/index.js';

/** Complete processes, as parts for a {@link LifecycleManager}. */
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
