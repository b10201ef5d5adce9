import type { Milliseconds } from '../common/index.js';
import { DecayedCount } from './decayed-count.js';

/**
 * Computes, on the leader of control, which part of the work that each account asks for arises at each gateway. An account with all of its
 * requests at one gateway would otherwise look like a large one there, and one that spreads ten times as many like a usual one everywhere.
 */

/** Period over which work counts; the same as for the work that gateways have served. */
const period: Milliseconds = 4000;
/** Work below this no longer counts. */
const negligible = 1e-3;
/** A gateway that has not reported for this long has no work that counts. */
const retention: Milliseconds = 30_000;

interface GatewayWork {
  readonly accounts: Map<string, DecayedCount>;
  reportedAt: Milliseconds;
}

export class AccountShares {
  readonly #gateways = new Map<string, GatewayWork>();
  readonly #totals = new Map<string, DecayedCount>();

  /** Records the work by account that has arrived at a gateway since its previous report. */
  record(gateway: string, work: ReadonlyMap<string, number>, now: Milliseconds): void {
    const known = this.#gateways.get(gateway);
    const own = known ?? { accounts: new Map<string, DecayedCount>(), reportedAt: now };
    if (known === undefined) {
      this.#removeSilentGateways(now);
      this.#gateways.set(gateway, own);
    }
    own.reportedAt = now;
    for (const [account, amount] of work) {
      addTo(own.accounts, account, amount, now);
      addTo(this.#totals, account, amount, now);
    }
    removeNegligible(own.accounts, now);
    removeNegligible(this.#totals, now);
  }

  /** Share of each account's work that arises at the gateway, from 0 to 1. */
  list(gateway: string, now: Milliseconds): ReadonlyMap<string, number> {
    const own = this.#gateways.get(gateway)?.accounts ?? new Map<string, DecayedCount>();
    return new Map(
      [...own].map(([account, work]) => {
        const amount = work.read(now);
        const total = this.#totals.get(account)?.read(now) ?? amount;
        return [account, total > 0 ? Math.min(1, amount / total) : 1];
      }),
    );
  }

  /** Called when the leader changes; earlier reports are out of date. */
  clear(): void {
    this.#gateways.clear();
    this.#totals.clear();
  }

  #removeSilentGateways(now: Milliseconds): void {
    for (const [gateway, { reportedAt }] of this.#gateways) {
      if (now - reportedAt > retention) {
        this.#gateways.delete(gateway);
      }
    }
  }
}

function addTo(
  counts: Map<string, DecayedCount>,
  account: string,
  amount: number,
  now: Milliseconds,
): void {
  const count = counts.get(account) ?? new DecayedCount(period);
  count.add(now, amount);
  counts.set(account, count);
}

function removeNegligible(counts: Map<string, DecayedCount>, now: Milliseconds): void {
  for (const [account, count] of counts) {
    if (count.read(now) < negligible) {
      counts.delete(account);
    }
  }
}
