import type { Milliseconds } from '../../common/index.js';

/** Estimates the concurrent requests for each model from the reports of gateways; free of I/O. */

/** A gateway that has not reported for this long has no callers, or its callers moved to other gateways, which count them. */
const demandRetention: Milliseconds = 3000;
/**
 * Time constant for rising demand. It is short because callers of a model wait while it has too few groups. With a shorter one,
 * callers that waited for gateways to start and then arrive all at once would be counted as several times as many.
 */
const riseTimeConstant: Milliseconds = 1500;
/**
 * Time constant for falling demand. It is longer because an unneeded group costs little. When gateways are partitioned, their callers
 * take some seconds to reach other gateways; without smoothing, that looked like a loss of half the demand, and groups were given to
 * other models.
 */
const fallTimeConstant: Milliseconds = 4000;
/** Gateways report twice a second once they know the leader, so all reachable gateways have reported within this time. */
const settleTime: Milliseconds = 1500;

/**
 * How long a gateway counts as sharing global limits after its last report. A partitioned gateway still uses its share; if the others
 * divided the limit among themselves in the meantime, it would be exceeded.
 */
const sharingRetention: Milliseconds = 60_000;

interface DemandSample {
  readonly requests: ReadonlyMap<string, number>;
  readonly reportedAt: Milliseconds;
}

export class DemandEstimator {
  readonly #gateways = new Map<string, DemandSample>();
  readonly #lastReportAt = new Map<string, Milliseconds>();
  #smoothed: DemandSample | undefined;
  #firstReportAt: Milliseconds | undefined;
  /** When a gateway first reported requests for a model. */
  #firstDemandAt: Milliseconds | undefined;

  recordReport(gateway: string, requests: ReadonlyMap<string, number>, now: Milliseconds): void {
    this.#firstReportAt ??= now;
    this.#lastReportAt.set(gateway, now);
    if (requests.size > 0) {
      this.#firstDemandAt ??= now;
      this.#gateways.set(gateway, { requests, reportedAt: now });
    }
  }

  /** Demand by model, summed over all gateways and smoothed over time; empty until a gateway has reported. */
  estimate(now: Milliseconds): ReadonlyMap<string, number> {
    const total = this.#sumByModel(now);
    const before = this.#smoothed;
    if (total.size === 0) {
      this.#smoothed = undefined;
      return total;
    }
    const models = new Set([...total.keys(), ...(before?.requests.keys() ?? [])]);
    const smoothed = [...models].map((model): [string, number] => {
      const reported = total.get(model) ?? 0;
      const previous = before?.requests.get(model);
      const elapsed = now - (before?.reportedAt ?? now);
      return [model, previous === undefined ? reported : smooth(previous, reported, elapsed)];
    });
    this.#smoothed = { requests: new Map(smoothed), reportedAt: now };
    return this.#smoothed.requests;
  }

  /** Whether all gateways have had time to report; until then the sum covers only part of the demand. */
  isSettled(now: Milliseconds): boolean {
    return this.#firstDemandAt !== undefined && now - this.#firstDemandAt >= settleTime;
  }

  /**
   * Number of gateways that share global limits; 0 until all have had time to report. A new leader hears one gateway first, which
   * would otherwise take the whole limit for itself.
   */
  countGateways(now: Milliseconds): number {
    if (this.#firstReportAt === undefined || now - this.#firstReportAt < settleTime) {
      return 0;
    }
    for (const [gateway, reportedAt] of this.#lastReportAt) {
      if (now - reportedAt > sharingRetention) {
        this.#lastReportAt.delete(gateway);
      }
    }
    return this.#lastReportAt.size;
  }

  /** Index of a gateway among all counted ones, ordered by name. */
  findPosition(gateway: string): number {
    return [...this.#lastReportAt.keys()].filter((other) => other < gateway).length;
  }

  /** Called when the leader changes; earlier reports are out of date. */
  clear(): void {
    this.#gateways.clear();
    this.#lastReportAt.clear();
    this.#firstReportAt = undefined;
    this.#smoothed = undefined;
    this.#firstDemandAt = undefined;
  }

  #sumByModel(now: Milliseconds): ReadonlyMap<string, number> {
    const total = new Map<string, number>();
    for (const [gateway, { requests, reportedAt }] of this.#gateways) {
      if (now - reportedAt > demandRetention) {
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

function smooth(before: number, reported: number, elapsed: Milliseconds): number {
  const timeConstant = reported > before ? riseTimeConstant : fallTimeConstant;
  const kept = Math.exp(-elapsed / timeConstant);
  return before * kept + reported * (1 - kept);
}
