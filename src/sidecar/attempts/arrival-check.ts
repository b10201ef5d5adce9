import { assertNever, type ResultCodeName, type WallTime } from '../../common/index.js';
import type { AttemptOrder, Incarnation, Revision } from '../../model/index.js';
import type { AttemptRegistry } from './attempt-registry.js';
import type { GroupFacts } from './messages.js';

/** What an arriving attempt is checked against. */
export interface ArrivalContext {
  readonly incarnation: Incarnation;
  readonly registry: AttemptRegistry;
  readonly revision: Revision;
  readonly isDraining: boolean;
  readonly wallNow: WallTime;
}

/** What comes of the checks: the facts of the group that may take the attempt, or why none may. */
export type ArrivalCheck =
  | { readonly type: 'passed'; readonly group: GroupFacts }
  | { readonly type: 'refused'; readonly code: ResultCodeName };

/**
 * Checks an attempt before it may even queue.
 * The order matters: what is already known here is never told "not run" for another reason.
 */
export function checkArrival(
  order: AttemptOrder,
  group: GroupFacts | undefined,
  context: ArrivalContext,
): ArrivalCheck {
  if (order.name.incarnation !== context.incarnation) {
    return refuse('staleIncarnation');
  }
  const verdict = context.registry.judge(order.name, context.wallNow);
  switch (verdict) {
    case 'known':
      return refuse('duplicateAttempt');
    case 'tombstoned':
      return refuse('tombstoned');
    case 'tooOld':
      return refuse('attemptTooOld');
    case 'new':
      return checkGroup(order, group, context);
    default:
      return assertNever(verdict);
  }
}

function checkGroup(
  order: AttemptOrder,
  group: GroupFacts | undefined,
  context: ArrivalContext,
): ArrivalCheck {
  if (group === undefined) {
    return refuse('unknownGroup');
  }
  if (group.fencingNumber !== order.fencingNumber) {
    return refuse('staleFencingNumber');
  }
  if (order.configurationRevision < context.revision) {
    return refuse('staleConfiguration');
  }
  if (context.isDraining || group.isDraining) {
    return refuse('draining');
  }
  if (order.remaining <= 0) {
    return refuse('deadlineBeforeStart');
  }
  return group.isWhole ? { type: 'passed', group } : refuse('notWhole');
}

function refuse(code: ResultCodeName): ArrivalCheck {
  return { type: 'refused', code };
}
