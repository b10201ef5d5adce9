import type { Milliseconds } from '../../common/index.js';
import type { ModelOutcome } from '../../engines/index.js';

/** Sums the outcomes of requests that gateways report, by model; free of I/O. */

/**
 * Outcomes count for this long, also those of a gateway that no longer reports. Gateways report twice a second; a shorter time would
 * follow the scatter of single reports, a longer one would still show losses whose cause is over.
 */
const window: Milliseconds = 3000;

interface OutcomeReport {
  readonly receivedAt: Milliseconds;
  readonly outcomes: ReadonlyMap<string, ModelOutcome>;
}

export class ModelOutcomes {
  #reports: readonly OutcomeReport[] = [];

  recordReport(outcomes: ReadonlyMap<string, ModelOutcome>, now: Milliseconds): void {
    if (outcomes.size > 0) {
      this.#reports = [...this.#listRecent(now), { receivedAt: now, outcomes }];
    }
  }

  /** Sums by model, over all gateways and the last seconds. */
  summarize(now: Milliseconds): ReadonlyMap<string, ModelOutcome> {
    this.#reports = this.#listRecent(now);
    const sums = new Map<string, ModelOutcome>();
    for (const [model, outcome] of this.#reports.flatMap(({ outcomes }) => [...outcomes])) {
      sums.set(model, addOutcomes(sums.get(model), outcome));
    }
    return sums;
  }

  /** Called when the leader changes; earlier reports are out of date. */
  clear(): void {
    this.#reports = [];
  }

  #listRecent(now: Milliseconds): readonly OutcomeReport[] {
    return this.#reports.filter(({ receivedAt }) => now - receivedAt <= window);
  }
}

function addOutcomes(sum: ModelOutcome | undefined, added: ModelOutcome): ModelOutcome {
  return sum === undefined
    ? added
    : {
        inTime: sum.inTime + added.inTime,
        late: sum.late + added.late,
        refused: sum.refused + added.refused,
        priority: Math.min(sum.priority, added.priority),
      };
}
