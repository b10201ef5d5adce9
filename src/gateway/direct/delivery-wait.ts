import type { Milliseconds, ResultCodeName } from '../../common/index.js';
import { maximumWait } from './maximum-wait.js';

/** How long a request waits for an upstream that can accept it; performs no I/O. */

/**
 * Longest time that a request waits while all upstreams are full: long enough for a slot to become free, and short enough to leave the
 * caller of a refused request time for a retry.
 */
const maximumWaitWhileFull: Milliseconds = 500;
/** Largest share of its total time that a request waits while all upstreams are full. */
const maximumShareWhileFull = 0.15;
/**
 * Largest share of its total time that a request waits while there is no upstream at all; callers wait about as long before they retry.
 * The wait also ends when the caller would give up (`maximumWait`). A group whose weights are available locally is repaired within that time.
 */
const maximumShareWithoutUpstream = 0.3;
/** A partly forwarded stream waits longer, because a refusal would lose it. Callers give up after a pause of two seconds. */
const maximumResumeWait: Milliseconds = 1500;

/** Times of a request that bound its wait. */
export interface WaitBounds {
  readonly startedAt: Milliseconds;
  readonly deadline: Milliseconds;
}

export interface WaitingPhase {
  readonly type: 'waiting';
  /** Start of the wait for any upstream. */
  readonly waitingSince: Milliseconds;
  /** Time since when the reason has been the present one. */
  readonly reasonSince: Milliseconds;
  /** Reason for the wait, as the result code of the failure if it does not end in time. */
  readonly code: ResultCodeName;
}

export function startWaiting(now: Milliseconds, code: ResultCodeName): WaitingPhase {
  return { type: 'waiting', waitingSince: now, reasonSince: now, code };
}

/** A request that waited for any upstream starts to wait anew for one that can accept it. */
export function waitWhileBusy(
  waiting: WaitingPhase,
  code: 'overloaded' | 'upstreamsPaused',
  now: Milliseconds,
): WaitingPhase {
  const reasonSince = isLongWait(waiting.code) ? now : waiting.reasonSince;
  return { ...waiting, reasonSince, code };
}

/**
 * Time at which a waiting request fails. A caller without a response leaves after two seconds and is not told when to come back, so all
 * waits that begin before `maximumWait` has passed end with it.
 */
export function findWaitEnd(
  phase: WaitingPhase,
  bounds: WaitBounds,
  isPassedOn: boolean,
): Milliseconds {
  if (isPassedOn) {
    return phase.waitingSince + maximumResumeWait;
  }
  const latest = bounds.startedAt + maximumWait;
  const end = findOwnWaitEnd(phase, bounds);
  return phase.waitingSince < latest ? Math.min(end, latest) : end;
}

/** A request that waited for any upstream and then found all full does not wait longer in total. */
function findOwnWaitEnd(
  { waitingSince, reasonSince, code }: WaitingPhase,
  { deadline, startedAt }: WaitBounds,
): Milliseconds {
  const time = deadline - startedAt;
  const without = Math.min(maximumWait, time * maximumShareWithoutUpstream);
  if (isLongWait(code)) {
    return waitingSince + without;
  }
  const whileFull = Math.min(maximumWaitWhileFull, time * maximumShareWhileFull);
  return Math.min(reasonSince + whileFull, waitingSince + without);
}

/** Whether the request waits for control: for a group, or for the record of a crash. */
function isLongWait(code: ResultCodeName): boolean {
  return code === 'noServingGroup' || code === 'crashUnrecorded';
}
