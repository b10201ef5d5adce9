import type { Milliseconds, RandomSource } from '../common/index.js';

/** Decides how long a client of control waits before it connects again; free of I/O. */

const firstDelay: Milliseconds = 200;
const longestDelay: Milliseconds = 5000;
const growth = 2;

/**
 * Waits that grow while no control host is of use, each drawn at random.
 * When control restarts, or a domain comes back, a thousand clients would otherwise connect in the same moment, each for the
 * whole state; one would notice control hosts that answer nobody in time. Random waits spread them, growing ones leave room.
 */
export class ReconnectPacing {
  readonly #random: RandomSource;
  readonly #longest: Milliseconds;
  #ceiling: Milliseconds = firstDelay;

  constructor(random: RandomSource, longest: Milliseconds = longestDelay) {
    this.#random = random;
    this.#longest = longest;
  }

  /** The connection proved useful: the next loss is a new one. */
  reset(): void {
    this.#ceiling = firstDelay;
  }

  /** The wait before the next attempt, between half the present ceiling and all of it. */
  next(): Milliseconds {
    const delay = this.#ceiling * (1 + this.#random.fraction()) * 0.5;
    this.#ceiling = Math.min(this.#longest, this.#ceiling * growth);
    return delay;
  }
}
