import type { Milliseconds } from '../../common/index.js';

/** Tells when the next plan may be made; free of I/O. */

/** Planning takes at most this part of the leader's time. */
const largestShare = 0.2;

/**
 * Rests between plans, the longer the more a plan costs.
 * A plan looks at all engines, so what it costs grows with them, and so does how often one is asked for. A leader that made one for each report
 * would have no time left for heartbeats of the log: one would notice a leader that changes while no host is lost.
 */
export class PlanPacing {
  #nextAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** A plan was made between these two readings of the clock. */
  notePlan(startedAt: Milliseconds, endedAt: Milliseconds): void {
    const duration = endedAt - startedAt;
    this.#nextAt = endedAt + duration * (1 / largestShare - 1);
  }

  /** Time until the next plan may be made; 0 for now. */
  findRest(now: Milliseconds): Milliseconds {
    return Math.max(0, this.#nextAt - now);
  }
}
