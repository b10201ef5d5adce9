export { planEngineGroups } from './plan.js';
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
