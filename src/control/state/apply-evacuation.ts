import {
  assertNever,
  createFailure,
  type Milliseconds,
  type WallTime,
} from '../../common/index.js';
import type { Evacuation } from '../../routing/index.js';
import type { Command } from './commands.js';
import type { EvacuationHistory, RoutingState } from './routing-state.js';
import type { ApplyResult, ControlState } from './state.js';

/** Applies operators' orders to start and end evacuations of failure domains. */

type SetEvacuation = Extract<Command, { readonly type: 'setEvacuation' }>;

export type EvacuationOrder = Pick<SetEvacuation, 'failureDomain' | 'action' | 'stamp'>;

/**
 * An order that would reverse the last one within this time is refused. It may be a delayed duplicate of an order from before that one: an
 * operator that does not receive an answer within a second resends the order. A real operator resends the refused order as well.
 */
export const turnInterval: Milliseconds = 2000;

/**
 * What an order does. `applies`: it changes the state. `repeated`: the state is already as ordered. `outdated`: an opposite order has
 * been applied since it arrived at control. `early`: it reverses another order too soon.
 */
export type EvacuationVerdict =
  | { readonly type: 'applies' | 'repeated' | 'outdated' }
  | { readonly type: 'early'; readonly retryAfter: Milliseconds };

type EvacuationState = Pick<RoutingState, 'evacuations' | 'evacuationHistory'>;

/** Number of orders that a command has to know of in order to apply: the opposite ones so far. */
export function stampEvacuationOrder(
  state: EvacuationState,
  { failureDomain, action }: Omit<EvacuationOrder, 'stamp'>,
): number {
  const { starts, ends } = findHistory(state, failureDomain);
  return action === 'start' ? ends : starts;
}

export function assessEvacuationOrder(
  state: EvacuationState,
  order: EvacuationOrder,
  at: WallTime,
): EvacuationVerdict {
  const { failureDomain, action, stamp } = order;
  const isEvacuated = state.evacuations.has(failureDomain);
  if (isEvacuated === (action === 'start')) {
    return { type: 'repeated' };
  }
  if (stamp !== stampEvacuationOrder(state, order)) {
    return { type: 'outdated' };
  }
  const { ends, changedAt } = findHistory(state, failureDomain);
  const age = at - changedAt;
  // Before the first end there is no earlier order that this one could be a duplicate of. A negative age is a clock that was set back;
  // orders are not refused until it has caught up.
  const isEarly = ends > 0 && age >= 0 && age < turnInterval;
  return isEarly ? { type: 'early', retryAfter: turnInterval - age } : { type: 'applies' };
}

export function applySetEvacuation(state: ControlState, command: SetEvacuation): ApplyResult {
  const { failureDomain, at } = command;
  const verdict = assessEvacuationOrder(state.routing, command, at);
  switch (verdict.type) {
    case 'repeated':
      return { state, answer: { type: 'evacuationSet', isChanged: false } };
    case 'applies': {
      const routing = changeEvacuation(state.routing, command);
      return { state: { ...state, routing }, answer: { type: 'evacuationSet', isChanged: true } };
    }
    case 'outdated':
      return refuse(state, createFailure('evacuationOutdated', failureDomain));
    case 'early':
      return refuse(state, createFailure('evacuationTooSoon', failureDomain, verdict.retryAfter));
    default:
      return assertNever(verdict);
  }
}

function changeEvacuation(
  routing: RoutingState,
  { failureDomain, action, at }: SetEvacuation,
): RoutingState {
  const evacuations = new Map<string, Evacuation>(routing.evacuations);
  const { starts, ends } = findHistory(routing, failureDomain);
  const history = { failureDomain, starts, ends, changedAt: at };
  if (action === 'start') {
    evacuations.set(failureDomain, { failureDomain, startedAt: at });
    history.starts += 1;
  } else {
    evacuations.delete(failureDomain);
    history.ends += 1;
  }
  const evacuationHistory = new Map(routing.evacuationHistory).set(failureDomain, history);
  return { ...routing, evacuations, evacuationHistory };
}

function findHistory(
  { evacuationHistory }: EvacuationState,
  failureDomain: string,
): EvacuationHistory {
  return (
    evacuationHistory.get(failureDomain) ?? { failureDomain, starts: 0, ends: 0, changedAt: 0 }
  );
}

function refuse(state: ControlState, failure: ReturnType<typeof createFailure>): ApplyResult {
  return {
    state,
    answer: { type: 'refused', failure, winner: undefined, differences: [] },
  };
}
