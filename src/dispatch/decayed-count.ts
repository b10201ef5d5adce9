import type { Milliseconds } from '../common/index.js';

/** Counts events; an event counts less with age. */
export class DecayedCount {
  readonly #period: Milliseconds;
  #count = 0;
  #updatedAt: Milliseconds = 0;

  constructor(period: Milliseconds) {
    this.#period = period;
  }

  add(now: Milliseconds, amount = 1): void {
    this.#count = this.read(now) + amount;
    this.#updatedAt = now;
  }

  read(now: Milliseconds): number {
    return this.#count * Math.exp(-Math.max(0, now - this.#updatedAt) / this.#period);
  }
}
