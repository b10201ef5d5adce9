import type { Route } from '../../routing/index.js';
import type { DeliveryOutcome } from './delivery-outcome.js';
import { isInTime } from './request-times.js';

/** Counts how requests ended, by model, for the leader of control; performs no I/O. */

/** How the requests for a model ended since the last report. */
export interface ModelOutcomeCounts {
  inTime: number;
  late: number;
  refused: number;
  /** The most urgent priority among the requests; 0 is the most urgent one. */
  priority: number;
}

export class OutcomeMeter {
  #models = new Map<string, ModelOutcomeCounts>();

  /** Records the end of a request. One whose caller left does not count: nobody lost anything by it. */
  noteEnded(
    model: string | undefined,
    { result, times }: Pick<DeliveryOutcome, 'result' | 'times'>,
    route: Pick<Route, 'objective' | 'longestPause'>,
    priority: number,
  ): void {
    if (model === undefined || result === 'left') {
      return;
    }
    const counts = this.#find(model, priority);
    if (result !== 'whole') {
      counts.refused += 1;
    } else if (isInTime(times, route)) {
      counts.inTime += 1;
    } else {
      counts.late += 1;
    }
  }

  /** Returns the counts since the previous call. */
  take(): ReadonlyMap<string, Readonly<ModelOutcomeCounts>> {
    const taken = this.#models;
    this.#models = new Map();
    return taken;
  }

  #find(model: string, priority: number): ModelOutcomeCounts {
    const counts = this.#models.get(model) ?? { inTime: 0, late: 0, refused: 0, priority };
    counts.priority = Math.min(counts.priority, priority);
    this.#models.set(model, counts);
    return counts;
  }
}
