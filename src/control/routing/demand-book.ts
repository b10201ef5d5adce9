import type { Milliseconds } from '../../common/index.js';

/** How many requests for each model want to run at one moment, from the reports of gateways; free of I/O. */

/**
 * A gateway that is not heard of for this long is gone, and its callers are at others. One that is cut off for some seconds has its
 * callers back as soon as the cut heals; forgotten after 3 s, it halved the demand, groups were given away, and then they lacked.
 */
const forgetAfter: Milliseconds = 9000;
/** Demand that rises is followed over about this time: short of groups, a model's callers wait. */
const risingMemory: Milliseconds = 500;
/** Demand that falls is followed over about this time: a group more than needed costs little. */
const fallingMemory: Milliseconds = 6000;
/** Gateways report twice a second once they know the leader; by then all that reach it have reported. */
const settlingTime: Milliseconds = 1500;

interface KnownDemand {
  readonly requests: ReadonlyMap<string, number>;
  readonly heardAt: Milliseconds;
}

export class DemandBook {
  readonly #gateways = new Map<string, KnownDemand>();
  #firstReportAt: Milliseconds | undefined;

  take(gateway: string, requests: ReadonlyMap<string, number>, now: Milliseconds): void {
    this.#firstReportAt ??= now;
    const known = this.#gateways.get(gateway);
    if (known === undefined) {
      this.#gateways.set(gateway, { requests, heardAt: now });
      return;
    }
    const elapsed = now - known.heardAt;
    const models = new Set([...known.requests.keys(), ...requests.keys()]);
    const evened = [...models].map((model): [string, number] => {
      const before = known.requests.get(model) ?? 0;
      return [model, follow(before, requests.get(model) ?? 0, elapsed)];
    });
    this.#gateways.set(gateway, { requests: new Map(evened), heardAt: now });
  }

  /** Sums over all gateways; empty while none has reported. */
  estimate(now: Milliseconds): ReadonlyMap<string, number> {
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

  /** Whether all gateways have had the time to report; before that the sum is a part of the demand. */
  isSettled(now: Milliseconds): boolean {
    return this.#firstReportAt !== undefined && now - this.#firstReportAt >= settlingTime;
  }

  /** Another host leads, or this one anew: what was reported before is old. */
  clear(): void {
    this.#gateways.clear();
    this.#firstReportAt = undefined;
  }
}

function follow(before: number, reported: number, elapsed: Milliseconds): number {
  const memory = reported > before ? risingMemory : fallingMemory;
  const kept = Math.exp(-elapsed / memory);
  return before * kept + reported * (1 - kept);
}
