import type { Milliseconds } from '../../common/index.js';

/** Estimates the concurrent requests that each model needs to serve; performs no I/O. */

/** Time constant for smoothing arrival rates; long enough for some tens of requests at a gateway. */
const smoothingTime: Milliseconds = 1500;
const millisecondsPerSecond = 1000;
/** Duration assumed for a model until its first complete response. */
const defaultDuration: Milliseconds = 1000;

interface ModelRecord {
  /** Requests in the current interval. */
  arrivals: number;
  /** Requests per second; undefined before the end of the first interval. */
  rate: number | undefined;
  duration: Milliseconds | undefined;
}

/**
 * Demand is the arrival rate times the duration at the upstream: the concurrency if every request were sent at once (Little's law).
 * Counting requests in flight instead would include those that wait: the demand of a model that is short of groups would appear to
 * grow without bound, and it would take the groups of the others.
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

  /** Records the duration of a complete response at its upstream. */
  noteServed(model: string, duration: Milliseconds): void {
    const record = this.#find(model);
    const weight = record.duration === undefined ? 1 : 0.05;
    record.duration = (record.duration ?? 0) * (1 - weight) + duration * weight;
  }

  /** Ends the current interval and returns the demand by model. */
  measure(now: Milliseconds): ReadonlyMap<string, number> {
    const elapsed = Math.max(1, now - this.#measuredAt);
    this.#measuredAt = now;
    const kept = Math.exp(-elapsed / smoothingTime);
    const demand = new Map<string, number>();
    for (const [model, record] of this.#models) {
      const rate = (record.arrivals / elapsed) * millisecondsPerSecond;
      record.rate = (record.rate ?? rate) * kept + rate * (1 - kept);
      record.arrivals = 0;
      const duration = record.duration ?? defaultDuration;
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
