import type { Milliseconds } from './time.js';

/** Limits how many log lines of one kind a process writes. Does no I/O. */

/** Maximum burst of lines, and the sustained rate in lines per second. */
export interface LogRateLimits {
  readonly burst: number;
  readonly perSecond: number;
}

const millisecondsPerSecond = 1000;

/**
 * A token bucket for log lines.
 * When thousands of requests fail per second, logging each one would take CPU time from the remaining requests and bury the
 * lines that explain the failure. Suppressed lines are counted so that the log can report them.
 */
export class LogRateLimiter {
  readonly #limits: LogRateLimits;
  #tokens: number;
  #refilledAt: Milliseconds | undefined;
  #suppressed = 0;

  constructor(limits: LogRateLimits) {
    this.#limits = limits;
    this.#tokens = limits.burst;
  }

  /** Takes a token if one is available and returns whether the line may be written; otherwise counts it as suppressed. */
  tryTake(now: Milliseconds): boolean {
    const { burst, perSecond } = this.#limits;
    const elapsed = now - (this.#refilledAt ?? now);
    this.#refilledAt = now;
    this.#tokens = Math.min(burst, this.#tokens + (elapsed * perSecond) / millisecondsPerSecond);
    if (this.#tokens < 1) {
      this.#suppressed += 1;
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  /** Returns the number of lines suppressed since the last call, and resets it. */
  takeSuppressedCount(): number {
    const count = this.#suppressed;
    this.#suppressed = 0;
    return count;
  }
}
