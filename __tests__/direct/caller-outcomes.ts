import type { Milliseconds } from '../../src/common/index.js';

/** What became of the requests of simulated callers. */

export interface Caller {
  readonly startedAt: Milliseconds;
  readonly prompt: number;
  readonly answer: number;
  outcome: 'open' | 'inTime' | 'late' | 'refused';
}

export interface CallerOutcomes {
  readonly requests: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Share of requests in time, by half second of their arrival. */
  readonly shares: readonly number[];
  /** Time after `end` from which on 90% of the requests that arrive within a second are in time; infinite if there is none. */
  readonly recovery: Milliseconds;
}

const shareInterval: Milliseconds = 500;
const recoveredShare = 0.9;

/** `until`: arrivals from then on do not count. `end`: when the cause of an overload ends. */
export function countOutcomes(
  callers: readonly Caller[],
  until: Milliseconds,
  end: Milliseconds,
): CallerOutcomes {
  const known = callers.filter(({ startedAt }) => startedAt < until);
  const count = (outcome: Caller['outcome']): number =>
    known.filter((caller) => caller.outcome === outcome).length;
  const inTime = count('inTime');
  const refused = count('refused');
  const intervals = Math.floor(until / shareInterval);
  return {
    requests: known.length,
    inTime,
    refused,
    late: known.length - inTime - refused,
    shares: Array.from({ length: intervals }, (_, index) => {
      return findShare(known, index * shareInterval, shareInterval);
    }),
    recovery: findRecovery(known, until, end),
  };
}

function findRecovery(
  known: readonly Caller[],
  until: Milliseconds,
  end: Milliseconds,
): Milliseconds {
  for (let from = end; from < until - 1000; from += 100) {
    if (findShare(known, from, 1000) >= recoveredShare) {
      return from - end;
    }
  }
  return Infinity;
}

function findShare(known: readonly Caller[], from: Milliseconds, length: Milliseconds): number {
  const among = known.filter(({ startedAt }) => startedAt >= from && startedAt < from + length);
  const inTime = among.filter(({ outcome }) => outcome === 'inTime').length;
  return inTime / Math.max(1, among.length);
}
