import type { Milliseconds } from '../common/index.js';
import { DecayedCount } from './decayed-count.js';

/** Measures how many requests arrive, by priority and account. */

/** Period over which arrivals are measured: about that of a change in load. */
const period: Milliseconds = 1000;
/** Above this number of combinations, those without recent arrivals are removed. */
const maximumTracked = 512;
const negligible = 0.01;

/** Requests that have an equal rank except for their objectives. */
export interface ArrivalClass {
  readonly priority: number;
  readonly account: string;
}

interface ClassCount extends ArrivalClass {
  readonly count: DecayedCount;
}

export class ArrivalRates {
  readonly #counts = new Map<string, ClassCount>();

  note({ priority, account }: ArrivalClass, now: Milliseconds): void {
    const key = `${priority} ${account}`;
    const known = this.#counts.get(key) ?? { priority, account, count: new DecayedCount(period) };
    known.count.add(now);
    this.#counts.set(key, known);
    if (this.#counts.size > maximumTracked) {
      this.#removeIdle(now);
    }
  }

  /** Requests per millisecond of the classes that meet the condition. */
  read(isCounted: (arrivals: ArrivalClass) => boolean, now: Milliseconds): number {
    let sum = 0;
    for (const arrivals of this.#counts.values()) {
      sum += isCounted(arrivals) ? arrivals.count.read(now) : 0;
    }
    return sum / period;
  }

  #removeIdle(now: Milliseconds): void {
    for (const [key, { count }] of this.#counts) {
      if (count.read(now) < negligible) {
        this.#counts.delete(key);
      }
    }
  }
}
