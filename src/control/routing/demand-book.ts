import type { Milliseconds } from '../../common/index.js';

/** How many requests for each model want to run at one moment, from the reports of gateways; free of I/O. */

/** A gateway that is not heard of for this long has no callers, or they went to others, where they are counted. */
const forgetAfter: Milliseconds = 3000;
/**
 * Demand that rises is followed over about this time: short of groups, a model's callers wait. Shorter, and the callers that waited for
 * gateways to start, who come all at once, would seem to be several times as many.
 */
const risingMemory: Milliseconds = 1500;
/**
 * Demand that falls is followed over about this time: a group more than needed costs little. When gateways are cut off, some seconds
 * pass until their callers are at others; followed at once, that looked like half of the demand, and groups were given away.
 */
const fallingMemory: Milliseconds = 4000;
/** Gateways report twice a second once they know the leader; by then all that reach it have reported. */
const settlingTime: Milliseconds = 1500;

/**
 * A gateway that reported within this time counts among those that share bounds: cut off, it still uses its part of them, and a bound that the
 * others share anew meanwhile would be overdrawn.
 */
const sharingTime: Milliseconds = 60_000;

interface KnownDemand {
  readonly requests: ReadonlyMap<string, number>;
  readonly heardAt: Milliseconds;
}

export class DemandBook {
  readonly #gateways = new Map<string, KnownDemand>();
  readonly #seenAt = new Map<string, Milliseconds>();
  #followed: KnownDemand | undefined;
  #firstSeenAt: Milliseconds | undefined;
  /** When the first gateway reported that callers ask for a model. */
  #firstReportAt: Milliseconds | undefined;

  take(gateway: string, requests: ReadonlyMap<string, number>, now: Milliseconds): void {
    this.#firstSeenAt ??= now;
    this.#seenAt.set(gateway, now);
    if (requests.size > 0) {
      this.#firstReportAt ??= now;
      this.#gateways.set(gateway, { requests, heardAt: now });
    }
  }

  /** Sums over all gateways, evened out over time; empty while none has reported. */
  estimate(now: Milliseconds): ReadonlyMap<string, number> {
    const total = this.#sum(now);
    const before = this.#followed;
    if (total.size === 0) {
      this.#followed = undefined;
      return total;
    }
    const models = new Set([...total.keys(), ...(before?.requests.keys() ?? [])]);
    const followed = [...models].map((model): [string, number] => {
      const reported = total.get(model) ?? 0;
      const known = before?.requests.get(model);
      const elapsed = now - (before?.heardAt ?? now);
      return [model, known === undefined ? reported : follow(known, reported, elapsed)];
    });
    this.#followed = { requests: new Map(followed), heardAt: now };
    return this.#followed.requests;
  }

  /** Whether all gateways have had the time to report; before that the sum is a part of the demand. */
  isSettled(now: Milliseconds): boolean {
    return this.#firstReportAt !== undefined && now - this.#firstReportAt >= settlingTime;
  }

  /**
   * Gateways that share what is bounded over all of them; 0 until all have had the time to report. A new leader hears of one gateway
   * first, which would take the whole bound for itself.
   */
  countGateways(now: Milliseconds): number {
    if (this.#firstSeenAt === undefined || now - this.#firstSeenAt < settlingTime) {
      return 0;
    }
    for (const [gateway, seenAt] of this.#seenAt) {
      if (now - seenAt > sharingTime) {
        this.#seenAt.delete(gateway);
      }
    }
    return this.#seenAt.size;
  }

  /** Place of a gateway among all that count, in the order of their names. */
  findPosition(gateway: string): number {
    return [...this.#seenAt.keys()].filter((other) => other < gateway).length;
  }

  /** Another host leads, or this one anew: what was reported before is old. */
  clear(): void {
    this.#gateways.clear();
    this.#seenAt.clear();
    this.#firstSeenAt = undefined;
    this.#followed = undefined;
    this.#firstReportAt = undefined;
  }

  #sum(now: Milliseconds): ReadonlyMap<string, number> {
    const total = new Map<string, number>();
    for (const [gateway, { requests, heardAt }] of this.#gateways) {
      if (now - heardAt > forgetAfter) {
        this.#gateways.delete(gateway);
        continue;
      }
      for (const [model, count] of requests) {
        total.set(model, (total.get(model) ?? 0) + count);
      }
    }
    return total;
  }
}

function follow(before: number, reported: number, elapsed: Milliseconds): number {
  const memory = reported > before ? risingMemory : fallingMemory;
  const kept = Math.exp(-elapsed / memory);
  return before * kept + reported * (1 - kept);
}
