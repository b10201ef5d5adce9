import type { Milliseconds } from '../common/index.js';
import {
  lowestPermitRate,
  UpstreamLimits,
  type ColdProfile,
  type UpstreamLimit,
} from '../routing/index.js';
import type { ColdAnswer, ColdReport } from './cold-limits.js';
import { ColdRequests, type ColdBounds } from './cold-requests.js';

/** Tracks the permits of one gateway for requests to rate-limited and to cold upstreams; free of I/O. */

const millisecondsPerSecond = 1000;
/** Time after which an unused permit expires; new permits arrive about twice a second. */
const permitLifetime: Milliseconds = 1000;
/** If control has not answered for this long, the gateway uses an equal share of each limit. */
const controlTimeout: Milliseconds = 2000;

/** Permit-related part of a demand report. */
export interface PermitReport {
  readonly limits: readonly UpstreamLimit[];
  /** Requests eligible for each rate-limited upstream since the previous report. */
  readonly wanted: ReadonlyMap<string, number>;
  /** Permits that expired unused since the previous report. */
  readonly returned: ReadonlyMap<string, number>;
  /** Undefined unless cold upstreams are limited here. */
  readonly cold: ColdReport | undefined;
  readonly reportedAt: Milliseconds;
}

/** Permit-related part of the answer to a demand report. */
export interface GrantedPermits {
  readonly limits: readonly UpstreamLimit[];
  readonly permits: ReadonlyMap<string, number>;
  /** Undefined if the answer has no part on cold upstreams. */
  readonly cold?: ColdAnswer | undefined;
}

export class RequestPermits {
  readonly #limits = new UpstreamLimits();
  readonly #wanted = new Map<string, number>();
  /** Expiry times of the unused permits of each upstream, in ascending order. */
  readonly #permits = new Map<string, Milliseconds[]>();
  /** Time from which the next permit of each upstream is earned while control does not answer. */
  readonly #earningSince = new Map<string, Milliseconds>();
  /** Undefined if cold upstreams are not limited. */
  readonly #cold: ColdRequests | undefined;
  #gateways: number;
  #answeredAt: Milliseconds;

  /**
   * `gateways`: number of gateways that share a limit, until control reports it. `coldBounds`: absent if cold upstreams are not limited.
   */
  constructor(gateways: number, now: Milliseconds, coldBounds?: ColdBounds) {
    this.#gateways = gateways;
    this.#answeredAt = now;
    this.#cold = coldBounds === undefined ? undefined : new ColdRequests(coldBounds, now);
  }

  shareWith(gateways: number): void {
    this.#gateways = gateways;
  }

  /** Records the limit, or its absence, in the answer to a request that was sent at `sentAt`. Returns whether the limit changed. */
  noteAnswer(
    upstream: string,
    requestsPerSecond: number | undefined,
    sentAt: Milliseconds,
    now: Milliseconds,
  ): boolean {
    return requestsPerSecond === undefined
      ? this.#limits.noteUnlimited(upstream, sentAt, now)
      : this.#limits.noteLimit(upstream, requestsPerSecond, now);
  }

  isLimited(upstream: string): boolean {
    return this.#limits.find(upstream) !== undefined;
  }

  /** Takes all present starts of services that declare how long a start is cold. Returns the number of those that are new here. */
  listStarts(profiles: ReadonlyMap<string, ColdProfile>, now: Milliseconds): number {
    return this.#cold?.list(profiles, now) ?? 0;
  }

  /** The failure domain of these upstreams is back in service; they come back cold. */
  noteReturned(upstreams: readonly string[], now: Milliseconds): void {
    this.#cold?.noteReturned(upstreams, now);
  }

  /** The upstream stated how much longer it is cold. Returns whether that makes a warm one cold. */
  noteCold(upstream: string, coldFor: Milliseconds, now: Milliseconds): boolean {
    return this.#cold?.noteStated(upstream, coldFor, now) ?? false;
  }

  isCold(upstream: string, now: Milliseconds): boolean {
    return this.#cold?.isCold(upstream, now) ?? false;
  }

  /** Whether one more request may be sent to the upstream; true if it has no limit. */
  maySend(upstream: string, now: Milliseconds): boolean {
    return this.#hasPermit(upstream, now) && (this.#cold?.maySend(upstream, now) ?? true);
  }

  /** Counts a request that is eligible for the upstream; control grants permits only to gateways with such requests. */
  noteWanted(upstream: string): void {
    this.#cold?.noteWanted(upstream);
    if (this.isLimited(upstream)) {
      this.#wanted.set(upstream, (this.#wanted.get(upstream) ?? 0) + 1);
    }
  }

  /** A request was assigned to the upstream. */
  noteSent(upstream: string, now: Milliseconds): void {
    this.#cold?.noteSent(upstream, now);
    if (!this.isLimited(upstream)) {
      return;
    }
    const [next] = this.#listValid(upstream, now);
    if (next !== undefined) {
      const permits = this.#permits.get(upstream) ?? [];
      this.#permits.set(
        upstream,
        permits.filter((_, index) => index !== permits.indexOf(next)),
      );
    }
  }

  /** The request that was assigned is being written to a connection. */
  noteWritten(upstream: string, now: Milliseconds): void {
    this.#cold?.noteWritten(upstream, now);
  }

  /** The request that was assigned was withdrawn before it was written. */
  noteUnsent(upstream: string): void {
    this.#cold?.noteUnsent(upstream);
  }

  /** The upstream answered that the request was meant for another one. */
  noteMisdirected(upstream: string): void {
    this.#cold?.noteMisdirected(upstream);
  }

  /** Whether a report should be sent now, although the regular one is not due yet. */
  isReportDue(now: Milliseconds): boolean {
    return this.#cold?.isReportDue(now) ?? false;
  }

  /** Returns the report for the current interval and starts the next one. */
  takeReport(now: Milliseconds): PermitReport {
    const wanted = new Map(this.#wanted);
    this.#wanted.clear();
    const returned = this.#removeExpired(now);
    const cold = this.#cold?.takeReport(now);
    return { limits: this.#limits.list(now), wanted, returned, cold, reportedAt: now };
  }

  /** Applies the answer to the report taken at `reportedAt`; ages count from then, so that limits do not look newer with each exchange. */
  applyGrant(
    { limits, permits, cold }: GrantedPermits,
    reportedAt: Milliseconds,
    now: Milliseconds,
  ): void {
    this.#answeredAt = now;
    this.#earningSince.clear();
    this.#limits.merge(limits, reportedAt);
    if (cold !== undefined) {
      this.#cold?.apply(cold, reportedAt, now);
    }
    for (const [upstream, count] of permits) {
      const added = Array.from({ length: count }, () => now + permitLifetime);
      this.#permits.set(upstream, [...(this.#permits.get(upstream) ?? []), ...added]);
    }
  }

  /** Drops the state of upstreams that are not listed. */
  retain(upstreams: ReadonlySet<string>): void {
    this.#limits.retain(upstreams);
    for (const known of [this.#permits, this.#earningSince]) {
      for (const upstream of known.keys()) {
        if (!upstreams.has(upstream)) {
          known.delete(upstream);
        }
      }
    }
  }

  #hasPermit(upstream: string, now: Milliseconds): boolean {
    const requestsPerSecond = this.#limits.find(upstream);
    if (requestsPerSecond === undefined) {
      return true;
    }
    this.#grantWithoutControl(upstream, requestsPerSecond, now);
    return this.#listValid(upstream, now).length > 0;
  }

  /** Grants permits at an equal share of the limit while control does not answer, one at a time so that no burst builds up. */
  #grantWithoutControl(upstream: string, requestsPerSecond: number, now: Milliseconds): void {
    if (now - this.#answeredAt < controlTimeout || this.#listValid(upstream, now).length > 0) {
      return;
    }
    const since = this.#earningSince.get(upstream) ?? now;
    const rate = Math.max(requestsPerSecond, lowestPermitRate);
    const interval = (millisecondsPerSecond * this.#gateways) / rate;
    const isEarned = now - since >= interval;
    this.#earningSince.set(upstream, isEarned ? now : since);
    if (isEarned) {
      this.#permits.set(upstream, [now + permitLifetime]);
    }
  }

  #removeExpired(now: Milliseconds): ReadonlyMap<string, number> {
    const returned = new Map<string, number>();
    for (const [upstream, permits] of this.#permits) {
      const valid = this.#listValid(upstream, now);
      if (valid.length < permits.length) {
        returned.set(upstream, permits.length - valid.length);
        this.#permits.set(upstream, valid);
      }
    }
    return returned;
  }

  #listValid(upstream: string, now: Milliseconds): Milliseconds[] {
    return (this.#permits.get(upstream) ?? []).filter((expiresAt) => expiresAt > now);
  }
}
