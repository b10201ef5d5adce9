import type { Milliseconds, RandomSource } from '../common/index.js';

/** Computes the reconnect delays of clients of control hosts; free of I/O. */

const initialDelay: Milliseconds = 200;
const defaultMaximumDelay: Milliseconds = 5000;
const growthFactor = 2;

/**
 * Exponential backoff with random jitter.
 * When the control hosts restart or a failure domain recovers, a thousand clients would otherwise connect at the same moment and
 * each request the whole state, and the control hosts would answer none in time. Jitter spreads the attempts out; growing delays
 * reduce the load.
 */
export class ReconnectBackoff {
  readonly #random: RandomSource;
  readonly #maximumDelay: Milliseconds;
  #ceiling: Milliseconds = initialDelay;

  constructor(random: RandomSource, maximumDelay: Milliseconds = defaultMaximumDelay) {
    this.#random = random;
    this.#maximumDelay = maximumDelay;
  }

  /** Called when a connection has proved useful; the next delay is short again. */
  reset(): void {
    this.#ceiling = initialDelay;
  }

  /** Returns the delay before the next attempt, between half the current ceiling and the ceiling, and raises the ceiling. */
  next(): Milliseconds {
    const delay = this.#ceiling * (1 + this.#random.fraction()) * 0.5;
    this.#ceiling = Math.min(this.#maximumDelay, this.#ceiling * growthFactor);
    return delay;
  }
}
