export { determineEngineStatus } from './engine-status.js';
export { planEngineGroups } from './plan.js';
export { ExchangeHistory } from './exchange-history.js';
export {
  computeLossShare,
  type EngineExchange,
  type LossInput,
  type ModelOutcome,
} from './model-losses.js';
export { Settling } from './settling.js';
export type {
  EngineDecision,
  EngineView,
  GroupAdvance,
  GroupRemoval,
  GroupView,
  NewEngineGroup,
  PlannerInput,
  StagingOrder,
} from './types.js';
