export { decodeCommandAnswer, encodeCommandAnswer } from './answer-text.js';
export { applyCommand } from './apply.js';
export { crashLifetimeMilliseconds, hasExpiredCrash } from './apply-crashes.js';
export {
  assessEvacuationOrder,
  stampEvacuationOrder,
  turnInterval,
  type EvacuationOrder,
  type EvacuationVerdict,
} from './apply-evacuation.js';
export { maximumAnswers, maximumHistory } from './apply-change.js';
export { ClaimRegister, claimLifetimeMilliseconds } from './claim-register.js';
export {
  commandSchema,
  type Change,
  type Command,
  type EvacuationAction,
  type GroupPlacement,
} from './commands.js';
export { applyHostOverride, drainEvacuated } from './host-override.js';
export {
  checkCommand,
  checkSubmittedCommand,
  formatCommand,
  parseCommand,
} from './parse-command.js';
export { ControlStateMachine, type StateListener } from './state-machine.js';
export {
  initialControlState,
  type AcceptedChange,
  type ApplyResult,
  type ChangeAnswer,
  type Claim,
  type CommandAnswer,
  type ControlState,
  type HostOverride,
} from './state.js';
export {
  viewSchemas,
  type EvacuationsView,
  type EvacuationView,
  type ConfigurationView,
  type ControlView,
  type GroupsView,
  type GroupView,
  type HostsView,
  type HostView,
  type QuarantinesView,
  type ViewKind,
  type WatchersView,
  type WatcherView,
} from './views.js';
export { decodeSnapshot, encodeSnapshot } from './snapshot.js';
export { initialRoutingState, type EvacuationHistory, type RoutingState } from './routing-state.js';
