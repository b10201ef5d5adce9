import type { Milliseconds } from './time.js';

/** Bounds how many log lines of one kind a process writes; free of I/O. */

/** Lines that may come at once, and lines a second in the long run. */
export interface LineBudgetLimits {
  readonly burst: number;
  readonly perSecond: number;
}

const millisecondsPerSecond = 1000;

/**
 * A token bucket for lines.
 * When thousands of requests fail in a second, a line for each would take the processor time that the others need, and the
 * lines that tell why would be lost among them. What is left out is counted, so that a reader knows it.
 */
export class LineBudget {
  readonly #limits: LineBudgetLimits;
  #tokens: number;
  #filledAt: Milliseconds | undefined;
  #leftOut = 0;

  constructor(limits: LineBudgetLimits) {
    this.#limits = limits;
    this.#tokens = limits.burst;
  }

  /** Whether a line may be written now. */
  take(now: Milliseconds): boolean {
    const { burst, perSecond } = this.#limits;
    const elapsed = now - (this.#filledAt ?? now);
    this.#filledAt = now;
    this.#tokens = Math.min(burst, this.#tokens + (elapsed * perSecond) / millisecondsPerSecond);
    if (this.#tokens < 1) {
      this.#leftOut += 1;
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  /** Lines left out since this was last asked. */
  takeLeftOut(): number {
    const count = this.#leftOut;
    this.#leftOut = 0;
    return count;
  }
}
