import type { Milliseconds } from '../../common/index.js';
import { ColdRecords, type ColdAnswer, type ColdReport } from '../../dispatch/index.js';
import { lowestPermitRate, UpstreamLimits, type UpstreamLimit } from '../../routing/index.js';
import { ColdAllocator } from './cold-allocator.js';

/** Allocates requests for rate-limited and for cold upstreams to gateways, on the leader; free of I/O. */

const millisecondsPerSecond = 1000;
/** A gateway that has not requested permits for this long no longer shares the limit; gateways report about twice a second. */
const requestRetention: Milliseconds = 700;
/** Bucket capacity, as the time in which the limit allows that many requests. */
const burstTime: Milliseconds = 250;
/** Minimum bucket capacity, so that low limits still yield whole permits. */
const smallestBurst = 2;
/**
 * Maximum rate at which returned permits are granted again, as a share of the limit. Without this bound, many gateways with little traffic
 * could use their outstanding permits at the same time and exceed the limit.
 */
const reuseShare = 0.75;

/** Permit request of one gateway, from its demand report. */
export interface PermitRequest {
  readonly gateway: string;
  readonly limits: readonly UpstreamLimit[];
  /** Requests eligible for each rate-limited upstream since the previous report. */
  readonly wanted: ReadonlyMap<string, number>;
  /** Permits that expired unused since the previous report. */
  readonly returned: ReadonlyMap<string, number>;
  /** Absent if the gateway does not limit cold upstreams, or this control host cannot confirm that it leads. */
  readonly cold?: ColdRequest | undefined;
}

export interface ColdRequest {
  readonly report: ColdReport;
  /** Term of this leader. */
  readonly term: number;
}

/** Answer to a permit request. */
export interface PermitAnswer {
  readonly limits: readonly UpstreamLimit[];
  /** Number of permits granted for each upstream. */
  readonly permits: ReadonlyMap<string, number>;
  readonly cold: ColdAnswer | undefined;
}

/** Keeps one token bucket per rate-limited upstream, because a fixed share of a low limit can be far below one request per gateway. */
export class PermitAllocator {
  readonly #limits = new UpstreamLimits();
  readonly #buckets = new Map<string, PermitBucket>();
  /** Kept over changes of the leadership: statements stay true, and every control host sees when a domain returns. */
  readonly #coldRecords = new ColdRecords();
  #cold: ColdAllocator | undefined;

  allocate(request: PermitRequest, now: Milliseconds): PermitAnswer {
    const { gateway, limits, wanted, returned, cold } = request;
    this.#limits.merge(limits, now);
    const permits = new Map<string, number>();
    for (const [upstream, count] of returned) {
      this.#buckets.get(upstream)?.returnUnused(count);
    }
    for (const [upstream, count] of wanted) {
      const requestsPerSecond = this.#limits.find(upstream);
      if (requestsPerSecond !== undefined) {
        const granted = this.#findBucket(upstream, now).grant(
          gateway,
          count,
          requestsPerSecond,
          now,
        );
        permits.set(upstream, granted);
      }
    }
    const coldAnswer = cold === undefined ? undefined : this.#allocateCold(gateway, cold, now);
    return { limits: this.#limits.list(now), permits, cold: coldAnswer };
  }

  /** An upstream stated how much longer it is cold. */
  noteCold(upstream: string, coldFor: Milliseconds, now: Milliseconds): void {
    this.#coldRecords.merge({ upstream, coldFor, age: 0 }, now);
  }

  /** The failure domain of this upstream is back in service. */
  noteReturned(upstream: string, duration: Milliseconds, now: Milliseconds): void {
    this.#coldRecords.noteReturned(upstream, duration, now);
  }

  /** Drops the limits and buckets of upstreams that are not listed. */
  retain(upstreams: ReadonlySet<string>): void {
    this.#limits.retain(upstreams);
    this.#cold?.retain(upstreams);
    for (const upstream of this.#buckets.keys()) {
      if (!upstreams.has(upstream)) {
        this.#buckets.delete(upstream);
      }
    }
  }

  /**
   * Called when the leadership changes. Gateways report their limits again; buckets restart empty because permits that were granted earlier may
   * still be used.
   */
  clear(): void {
    this.#buckets.clear();
    this.#limits.retain(new Set());
    this.#cold = undefined;
  }

  #allocateCold(gateway: string, { report, term }: ColdRequest, now: Milliseconds): ColdAnswer {
    if (this.#cold?.term !== term) {
      this.#cold = new ColdAllocator(term, now);
    }
    this.#coldRecords.list(new Map(), now);
    for (const notice of report.notices) {
      this.#coldRecords.merge(notice, now);
    }
    const asked = report.upstreams.map(({ upstream }) => upstream);
    const notices = this.#coldRecords.describe(asked, now);
    return { ...this.#cold.allocate(gateway, report, now), notices };
  }

  #findBucket(upstream: string, now: Milliseconds): PermitBucket {
    const bucket = this.#buckets.get(upstream) ?? new PermitBucket(now);
    this.#buckets.set(upstream, bucket);
    return bucket;
  }
}

interface RequestingGateway {
  readonly requestedAt: Milliseconds;
  readonly grantedAt: Milliseconds;
}

/** Token bucket of one upstream; starts empty, because requests sent before the limit was known are not counted. */
class PermitBucket {
  readonly #gateways = new Map<string, RequestingGateway>();
  #permits = 0;
  /** Number of returned permits that can currently be accepted. */
  #reusable = 0;
  #filledAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#filledAt = now;
  }

  /** Grants a gateway up to `wanted` permits. If there are fewer permits than gateways, the longest-waiting gateways are served first. */
  grant(gateway: string, wanted: number, requestsPerSecond: number, now: Milliseconds): number {
    this.#refill(requestsPerSecond, now);
    const lastGrantedAt = this.#gateways.get(gateway)?.grantedAt ?? Number.NEGATIVE_INFINITY;
    this.#gateways.set(gateway, { requestedAt: now, grantedAt: lastGrantedAt });
    this.#removeInactiveGateways(now);
    const available = Math.floor(this.#permits);
    const share = Math.floor(available / this.#gateways.size);
    const granted = Math.min(
      wanted,
      share > 0 ? share : this.#isAmongLongestWaiting(lastGrantedAt, available) ? 1 : 0,
    );
    if (granted > 0) {
      this.#permits -= granted;
      this.#gateways.set(gateway, { requestedAt: now, grantedAt: now });
    }
    return granted;
  }

  /** Returns permits that expired unused to the bucket, up to the allowed rate. */
  returnUnused(count: number): void {
    const accepted = Math.min(count, Math.floor(this.#reusable));
    this.#reusable -= accepted;
    this.#permits += accepted;
  }

  #refill(limit: number, now: Milliseconds): void {
    const requestsPerSecond = Math.max(limit, lowestPermitRate);
    const burst = Math.max(smallestBurst, (requestsPerSecond * burstTime) / millisecondsPerSecond);
    const earned = (requestsPerSecond * (now - this.#filledAt)) / millisecondsPerSecond;
    this.#permits = Math.min(burst, this.#permits + earned);
    this.#reusable = Math.min(burst, this.#reusable + reuseShare * earned);
    this.#filledAt = now;
  }

  #removeInactiveGateways(now: Milliseconds): void {
    for (const [gateway, { requestedAt }] of this.#gateways) {
      if (now - requestedAt > requestRetention) {
        this.#gateways.delete(gateway);
      }
    }
  }

  /** Whether the number of gateways that have waited longer is below the number of available permits. */
  #isAmongLongestWaiting(grantedAt: Milliseconds, available: number): boolean {
    const waitingLonger = [...this.#gateways.values()].filter(
      (other) => other.grantedAt < grantedAt,
    );
    return waitingLonger.length < available;
  }
}
