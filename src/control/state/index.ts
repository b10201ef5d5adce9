export { commandSchema, type Change, type Command, type GroupPlacement } from './commands.js';
export {
  initialControlState,
  type AcceptedChange,
  type Applied,
  type ChangeAnswer,
  type Claim,
  type CommandAnswer,
  type ControlState,
  type HostOverride,
} from './state.js';
