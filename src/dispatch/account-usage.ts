import type { Milliseconds } from '../common/index.js';
import { DecayedCount } from './decayed-count.js';

/**
 * Period over which the work of an account counts. Long enough that an account of which this gateway sees a request a second is known from
 * those that ask for more, and short enough that a burst is soon forgiven.
 */
const period: Milliseconds = 4000;
/** Above this number of accounts, those with negligible work are removed. */
const maximumTrackedAccounts = 256;
const negligible = 1e-3;

export class AccountUsage {
  readonly #used = new Map<string, DecayedCount>();

  /** Recent work of the account, divided by its weight. */
  read(account: string, now: Milliseconds): number {
    return this.#used.get(account)?.read(now) ?? 0;
  }

  /** Charges a request that is served to its account. `cost`: its work divided by the account's weight. */
  charge(account: string, cost: number, now: Milliseconds): void {
    const known = this.#used.get(account) ?? new DecayedCount(period);
    known.add(now, cost);
    this.#used.set(account, known);
    if (this.#used.size > maximumTrackedAccounts) {
      this.#removeIdle(now);
    }
  }

  #removeIdle(now: Milliseconds): void {
    for (const [account, used] of this.#used) {
      if (used.read(now) < negligible) {
        this.#used.delete(account);
      }
    }
  }
}
