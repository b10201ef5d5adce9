import { assertNever, type ResultCodeName, type WallTime } from '../../common/index.js';
import type { AttemptOrder, Incarnation, Revision } from '../../model/index.js';
import type { AttemptRegistry } from './attempt-registry.js';
import type { GroupSnapshot } from './messages.js';

/** Sidecar state against which an arriving attempt is checked. */
export interface ArrivalContext {
  readonly incarnation: Incarnation;
  readonly registry: AttemptRegistry;
  readonly revision: Revision;
  readonly isDraining: boolean;
  readonly wallNow: WallTime;
}

/** Result of the checks: the group that may run the attempt, or why it is refused. */
export type ArrivalCheck =
  | { readonly type: 'passed'; readonly group: GroupSnapshot }
  | { readonly type: 'refused'; readonly code: ResultCodeName };

/**
 * Checks an attempt before it is queued.
 * The order matters: the duplicate check comes before the group checks, so that an attempt this sidecar already knows
 * is never reported as "not run" for an unrelated reason.
 */
export function checkArrival(
  order: AttemptOrder,
  group: GroupSnapshot | undefined,
  context: ArrivalContext,
): ArrivalCheck {
  if (order.name.incarnation !== context.incarnation) {
    return refuse('staleIncarnation');
  }
  const status = context.registry.classifyArrival(order.name, context.wallNow);
  switch (status) {
    case 'known':
      return refuse('duplicateAttempt');
    case 'tombstoned':
      return refuse('tombstoned');
    case 'tooOld':
      return refuse('attemptTooOld');
    case 'new':
      return checkGroup(order, group, context);
    default:
      return assertNever(status);
  }
}

function checkGroup(
  order: AttemptOrder,
  group: GroupSnapshot | undefined,
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
