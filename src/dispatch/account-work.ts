import type { Milliseconds } from '../common/index.js';

/** Measures the work that accounts ask for at one gateway, and holds the share of each account that control has computed from it. */

/** Accounts in one report; those with the most work are reported. */
const maximumReported = 256;
/** Without an answer for this long, the gateway is fair by what it observes itself. Reports are sent twice a second. */
const shareLifetime: Milliseconds = 3000;
/** Bounds how far a single request moves the order of an account with hardly any work at this gateway. */
const smallestShare = 0.01;

export class AccountWork {
  #work = new Map<string, number>();
  #shares: ReadonlyMap<string, number> = new Map();
  #learnedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  note(account: string, work: number): void {
    this.#work.set(account, (this.#work.get(account) ?? 0) + work);
  }

  /** Work by account since the previous call, largest first. */
  takeReport(): ReadonlyMap<string, number> {
    const largest = [...this.#work].sort(([, one], [, other]) => other - one);
    this.#work = new Map();
    return new Map(largest.slice(0, maximumReported));
  }

  /** Applies an answer of control; an empty one says that control does not know the shares. */
  applyShares(shares: ReadonlyMap<string, number>, now: Milliseconds): void {
    if (shares.size > 0) {
      this.#shares = shares;
      this.#learnedAt = now;
    }
  }

  /**
   * Share of the account's work that arises at this gateway. Work that is served, divided by it, estimates what the account is served by
   * all gateways. 1 for each account while control is not heard, and for an account of which control knows no work.
   */
  readShare(account: string, now: Milliseconds): number {
    return this.hasShares(now) ? this.#findShare(account) : 1;
  }

  /** Whether control has answered recently. */
  hasShares(now: Milliseconds): boolean {
    return now - this.#learnedAt <= shareLifetime;
  }

  #findShare(account: string): number {
    return Math.max(smallestShare, this.#shares.get(account) ?? 1);
  }
}
