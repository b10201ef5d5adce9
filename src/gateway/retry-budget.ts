import type { AccountName } from '../model/index.js';

/** Retry limits of one client account at one gateway. */
export interface RetryBudgetLimits {
  /** Retries per request in the long run. */
  readonly share: number;
  /** Size of the bucket: retries that may be made in a burst. */
  readonly burst: number;
  /** Tokens before the first request; a full bucket by default. */
  readonly initial?: number;
}

/**
 * One retry per five requests limits the extra load from retries to a fifth when everything fails.
 * The burst lets a gateway retry every request it had in flight at a group whose lead died.
 */
export const defaultRetryBudgetLimits: RetryBudgetLimits = { share: 0.2, burst: 100 };

/**
 * Token buckets that limit retries, one for each client account.
 * Without a limit a failing group multiplies requests, and the retries keep the others overloaded after the fault.
 * With one bucket for all accounts, an account that sends far more than its share would use it up, and requests of the
 * others would not be retried although another group would accept them.
 */
export class RetryBudget {
  #limits: RetryBudgetLimits;
  readonly #tokens = new Map<AccountName, number>();

  constructor(limits: RetryBudgetLimits = defaultRetryBudgetLimits) {
    this.#limits = limits;
  }

  /** Changes the burst; tokens beyond the new burst are dropped. */
  setBurst(burst: number): void {
    this.#limits = { ...this.#limits, burst };
  }

  /** Adds the share of one request. */
  noteRequest(account: AccountName): void {
    const { share, burst } = this.#limits;
    this.#tokens.set(account, Math.min(burst, this.#read(account) + share));
  }

  /** Takes one token; false when the budget is spent. */
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
