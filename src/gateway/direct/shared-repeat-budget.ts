import { RetryBudget } from '../retry-budget.js';

/** One gateway's part of a bound on repeats that all gateways share; free of I/O. */

/** The bound over all gateways. */
export interface RepeatBound {
  /** Repeats allowed for each request, in the long run. */
  readonly share: number;
  /** Repeats that all gateways together may make beyond that share. */
  readonly burst: number;
}

/** Repeats at hand that a gateway always may have: with less than one it could never make any. */
const smallestBurst = 1;

/**
 * Begins with a single repeat and earns its part with its requests.
 * How many gateways there are is not known at first, and neither is what this one had spent before it was started again. Given a part of the
 * burst at once, gateways that start together overdraw it; one would notice upstreams that come back and are flooded with repeats.
 */
export class SharedRepeatBudget {
  readonly #bound: RepeatBound;
  readonly #budget: RetryBudget;

  constructor(bound: RepeatBound) {
    this.#bound = bound;
    this.#budget = new RetryBudget({
      share: bound.share,
      burst: smallestBurst,
      initial: smallestBurst,
    });
  }

  /** Control says how many gateways there are, this one included. */
  shareWith(gateways: number): void {
    this.#budget.setBurst(Math.max(smallestBurst, this.#bound.burst / gateways));
  }

  /** A request for the service has come. */
  noteRequest(service: string): void {
    this.#budget.noteRequest(service);
  }

  /** Takes one repeat; false when there is none left. */
  spend(service: string): boolean {
    return this.#budget.spend(service);
  }
}
