import type { AccountName } from '../model/index.js';

/** Bounds of the retries of one client account at one gateway. */
export interface RetryBudgetLimits {
  /** Retries allowed for each request, in the long run. */
  readonly share: number;
  /** Retries that may come in a burst. */
  readonly burst: number;
  /** Retries at hand before the first request; the whole burst where it is absent. */
  readonly initial?: number;
}

/**
 * One retry for five requests keeps the load of retries at a fifth when everything fails.
 * The burst lets a gateway rerun all that it had under way at one group whose lead died.
 */
export const defaultRetryBudgetLimits: RetryBudgetLimits = { share: 0.2, burst: 100 };

/**
 * A token bucket for retries for each client account.
 * Without it a failing group turns each request into several, and the retries keep the rest overloaded after the fault.
 * With one bucket for all, an account that sends far more than its share spends it, and the others' requests are not
 * tried again where they would have been taken.
 */
export class RetryBudget {
  #limits: RetryBudgetLimits;
  readonly #tokens = new Map<AccountName, number>();

  constructor(limits: RetryBudgetLimits = defaultRetryBudgetLimits) {
    this.#limits = limits;
  }

  /** Another burst from now on; what an account has beyond it is lost. */
  setBurst(burst: number): void {
    this.#limits = { ...this.#limits, burst };
  }

  /** A request has come: it pays in its share. */
  noteRequest(account: AccountName): void {
    const { share, burst } = this.#limits;
    this.#tokens.set(account, Math.min(burst, this.#read(account) + share));
  }

  /** Takes one retry; false when the budget is spent. */
  spend(account: AccountName): boolean {
    const tokens = this.#read(account);
    if (tokens < 1) {
      return false;
    }
    this.#tokens.set(account, tokens - 1);
    return true;
  }

  #read(account: AccountName): number {
    const { burst, initial = burst } = this.#limits;
    return Math.min(burst, this.#tokens.get(account) ?? initial);
  }
}
