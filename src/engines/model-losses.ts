import type { Milliseconds } from '../common/index.js';

/** Describes what the callers of models lose, as gateways report it. */

/** How the requests for a model ended within an interval. */
export interface ModelOutcome {
  /** Requests whose responses met the objectives of their routes. */
  readonly inTime: number;
  readonly late: number;
  /** Requests that ended without a complete response. */
  readonly refused: number;
  /** The most urgent priority among the requests; 0 is the most urgent one. */
  readonly priority: number;
}

/** Engines of one model that were freed for a group of another one. */
export interface EngineExchange {
  readonly from: string;
  readonly to: string;
}

/** Input of planning that weighs models by what their callers lose. */
export interface LossInput {
  /** Outcomes within the last seconds, by model. */
  readonly outcomes: ReadonlyMap<string, ModelOutcome>;
  /** Recent exchanges of engines and their ages. */
  readonly exchanges: readonly (EngineExchange & { readonly age: Milliseconds })[];
}

/** With fewer requests than this, the fraction that was lost says little. */
const minimumRequests = 10;
/** Each step of priority counts half as much as the one before. */
const urgencyBase = 0.5;

/** Fraction of the requests that were late or refused. */
export function computeLossShare(outcome: ModelOutcome | undefined): number {
  if (outcome === undefined) {
    return 0;
  }
  const { inTime, late, refused } = outcome;
  return (late + refused) / Math.max(minimumRequests, inTime + late + refused);
}

/** Weights of the models by the urgency of their requests; 1 for the most urgent model, and for a model without requests. */
export function computeUrgency(outcomes: ReadonlyMap<string, ModelOutcome>, model: string): number {
  const mostUrgent = Math.min(...[...outcomes.values()].map(({ priority }) => priority));
  const own = outcomes.get(model)?.priority;
  return own === undefined ? 1 : urgencyBase ** (own - mostUrgent);
}
