import type { Milliseconds } from '../../common/index.js';

/** How many requests for each model want to run at one moment, from the reports of gateways; free of I/O. */

/** A gateway that is not heard of for this long has no callers, or has others to report to. */
const forgetAfter: Milliseconds = 3000;
/** Demand is evened out over about this time: shorter, and groups would follow single bursts. */
const memory: Milliseconds = 1500;

interface KnownDemand {
  readonly requests: ReadonlyMap<string, number>;
  readonly heardAt: Milliseconds;
}

export class DemandBook {
  readonly #gateways = new Map<string, KnownDemand>();

  take(gateway: string, requests: ReadonlyMap<string, number>, now: Milliseconds): void {
    const known = this.#gateways.get(gateway);
    if (known === undefined) {
      this.#gateways.set(gateway, { requests, heardAt: now });
      return;
    }
    const kept = Math.exp(-(now - known.heardAt) / memory);
    const models = new Set([...known.requests.keys(), ...requests.keys()]);
    const evened = [...models].map((model): [string, number] => {
      const before = known.requests.get(model) ?? 0;
      return [model, before * kept + (requests.get(model) ?? 0) * (1 - kept)];
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
}
