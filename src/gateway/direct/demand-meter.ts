import type { Milliseconds } from '../../common/index.js';

/** Estimates how many requests for each model want to run at one moment; free of I/O. */

/** Rates and durations are evened out over about this time, which is long enough for some tens of requests at a gateway. */
const memory: Milliseconds = 1500;
const millisecondsPerSecond = 1000;
/** Taken for a model of which no answer was whole yet. */
const assumedDuration: Milliseconds = 1000;

interface ModelRecord {
  /** Requests in the present interval. */
  arrivals: number;
  /** Requests a second; undefined before the end of the first interval. */
  rate: number | undefined;
  duration: Milliseconds | undefined;
}

/**
 * Rate times duration at the upstream, which is what would run at one moment if every request were sent at once.
 * Counting what is under way instead would count those that wait: the model that is short of groups would seem to want ever more,
 * and take the groups of the others.
 */
export class DemandMeter {
  readonly #models = new Map<string, ModelRecord>();
  #measuredAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#measuredAt = now;
  }

  noteArrival(model: string): void {
    this.#find(model).arrivals += 1;
  }

  /** A whole answer took this long at its upstream. */
  noteServed(model: string, duration: Milliseconds): void {
    const record = this.#find(model);
    const weight = record.duration === undefined ? 1 : 0.05;
    record.duration = (record.duration ?? 0) * (1 - weight) + duration * weight;
  }

  /** Ends the present interval. */
  measure(now: Milliseconds): ReadonlyMap<string, number> {
    const elapsed = Math.max(1, now - this.#measuredAt);
    this.#measuredAt = now;
    const kept = Math.exp(-elapsed / memory);
    const demand = new Map<string, number>();
    for (const [model, record] of this.#models) {
      const rate = (record.arrivals / elapsed) * millisecondsPerSecond;
      record.rate = (record.rate ?? rate) * kept + rate * (1 - kept);
      record.arrivals = 0;
      const duration = record.duration ?? assumedDuration;
      demand.set(model, (record.rate * duration) / millisecondsPerSecond);
    }
    return demand;
  }

  #find(model: string): ModelRecord {
    const known = this.#models.get(model);
    if (known !== undefined) {
      return known;
    }
    const record = { arrivals: 0, rate: undefined, duration: undefined };
    this.#models.set(model, record);
    return record;
  }
}
