export { determineEngineStatus } from './engine-status.js';
export { planEngineGroups } from './plan.js';
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
