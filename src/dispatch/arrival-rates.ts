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

export interface ArrivalRate extends ArrivalClass {
  /** Requests per millisecond. */
  readonly rate: number;
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

  list(now: Milliseconds): readonly ArrivalRate[] {
    return [...this.#counts.values()].map(({ priority, account, count }) => {
      return { priority, account, rate: count.read(now) / period };
    });
  }

  #removeIdle(now: Milliseconds): void {
    for (const [key, { count }] of this.#counts) {
      if (count.read(now) < negligible) {
        this.#counts.delete(key);
      }
    }
  }
}
