/** Bounds of the retries of one gateway. */
export interface RetryBudgetLimits {
  /** Retries allowed for each request, in the long run. */
  readonly share: number;
  /** Retries that may come in a burst. */
  readonly burst: number;
}

/**
 * One retry for five requests keeps the load of retries at a fifth when everything fails.
 * The burst lets a gateway rerun all that it had under way at one group whose lead died.
 */
export const defaultRetryBudgetLimits: RetryBudgetLimits = { share: 0.2, burst: 100 };

/**
 * Token bucket for retries.
 * Without it a failing group turns each request into several, and the retries keep the rest overloaded after the fault.
 */
export class RetryBudget {
  readonly #limits: RetryBudgetLimits;
  #tokens: number;

  constructor(limits: RetryBudgetLimits = defaultRetryBudgetLimits) {
    this.#limits = limits;
    this.#tokens = limits.burst;
  }

  /** A request has come: it pays in its share. */
  noteRequest(): void {
    this.#tokens = Math.min(this.#limits.burst, this.#tokens + this.#limits.share);
  }

  /** Takes one retry; false when the budget is spent. */
  spend(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
