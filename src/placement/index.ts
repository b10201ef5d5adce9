export { crossFabricValue } from './cost.js';
export { isUsable } from './host-facts.js';
export { planPlacement } from './plan.js';
export type {
  HostAvailability,
  LoadBudget,
  PlacedGroup,
  PlacementDecision,
  PlacementEstimates,
  PlacementHost,
  PlacementInput,
  PlacementNote,
} from './types.js';
