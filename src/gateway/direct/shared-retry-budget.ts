import { RetryBudget } from '../retry-budget.js';

/** One gateway's part of a retry limit that all gateways share; performs no I/O. */

/** Limit on the retries of all gateways together. */
export interface RetryLimit {
  /** Retries allowed per request in the long run. */
  readonly share: number;
  /** Retries that all gateways together may make beyond that share. */
  readonly burst: number;
}

/** Lowest burst of one gateway; with less than one, it could never retry. */
const minimumBurst = 1;

/**
 * Starts with a single retry and earns its part of the burst with its requests.
 * At startup neither the number of gateways is known, nor what this one had spent before a restart. If each gateway received a part of the
 * burst at once, gateways that start together would exceed it, and recovering upstreams would be flooded with retries.
 */
export class SharedRetryBudget {
  readonly #limit: RetryLimit;
  readonly #budget: RetryBudget;

  constructor(bound: RetryLimit) {
    this.#limit = bound;
    this.#budget = new RetryBudget({
      share: bound.share,
      burst: minimumBurst,
      initial: minimumBurst,
    });
  }

  /** Sets the number of gateways that control reports, including this one. */
  shareWith(gateways: number): void {
    this.#budget.setBurst(Math.max(minimumBurst, this.#limit.burst / gateways));
  }

  /** Records the arrival of a request for the service. */
  noteRequest(service: string): void {
    this.#budget.noteRequest(service);
  }

  /** Takes one retry; returns false if none is left. */
  spend(service: string): boolean {
    return this.#budget.spend(service);
  }
}
