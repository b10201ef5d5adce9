import type { Milliseconds } from '../../common/index.js';

/** Decides when the next plan may be made; free of I/O. */

/** Largest share of the leader's time that planning may take. */
const maxPlanningShare = 0.2;

/**
 * Adds a delay after each plan in proportion to its duration.
 * A plan examines all engines, so both its cost and the frequency of requests for one grow with the number of engines. A leader that
 * planned after every report would have no time for the heartbeats of the replicated log, and the leadership would change although no
 * host failed.
 */
export class PlanPacing {
  #nextAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Records when a plan started and ended. */
  recordPlan(startedAt: Milliseconds, endedAt: Milliseconds): void {
    const duration = endedAt - startedAt;
    this.#nextAt = endedAt + duration * (1 / maxPlanningShare - 1);
  }

  /** Time until the next plan may be made; 0 if it may be made now. */
  findDelay(now: Milliseconds): Milliseconds {
    return Math.max(0, this.#nextAt - now);
  }
}
