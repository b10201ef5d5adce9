import type { Milliseconds } from '../common/index.js';
import { lowestPermitRate, UpstreamLimits, type UpstreamLimit } from '../routing/index.js';

/** Tracks the permits of one gateway for requests to rate-limited upstreams; free of I/O. */

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
  readonly reportedAt: Milliseconds;
}

/** Permit-related part of the answer to a demand report. */
export interface GrantedPermits {
  readonly limits: readonly UpstreamLimit[];
  readonly permits: ReadonlyMap<string, number>;
}

export class RequestPermits {
  readonly #limits = new UpstreamLimits();
  readonly #wanted = new Map<string, number>();
  /** Expiry times of the unused permits of each upstream, in ascending order. */
  readonly #permits = new Map<string, Milliseconds[]>();
  /** Time from which the next permit of each upstream is earned while control does not answer. */
  readonly #earningSince = new Map<string, Milliseconds>();
  #gateways: number;
  #answeredAt: Milliseconds;

  /** `gateways`: number of gateways that share a limit, until control reports it. */
  constructor(gateways: number, now: Milliseconds) {
    this.#gateways = gateways;
    this.#answeredAt = now;
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

  /** Whether one more request may be sent to the upstream; true if it has no limit. */
  maySend(upstream: string, now: Milliseconds): boolean {
    const requestsPerSecond = this.#limits.find(upstream);
    if (requestsPerSecond === undefined) {
      return true;
    }
    this.#grantWithoutControl(upstream, requestsPerSecond, now);
    return this.#listValid(upstream, now).length > 0;
  }

  /** Counts a request that is eligible for the upstream; control grants permits only to gateways with such requests. */
  noteWanted(upstream: string): void {
    if (this.isLimited(upstream)) {
      this.#wanted.set(upstream, (this.#wanted.get(upstream) ?? 0) + 1);
    }
  }

  noteSent(upstream: string, now: Milliseconds): void {
    const [next] = this.#listValid(upstream, now);
    if (next !== undefined) {
      const permits = this.#permits.get(upstream) ?? [];
      this.#permits.set(
        upstream,
        permits.filter((_, index) => index !== permits.indexOf(next)),
      );
    }
  }

  /** Returns the report for the current interval and starts the next one. */
  takeReport(now: Milliseconds): PermitReport {
    const wanted = new Map(this.#wanted);
    this.#wanted.clear();
    const returned = this.#removeExpired(now);
    return { limits: this.#limits.list(now), wanted, returned, reportedAt: now };
  }

  /** Applies the answer to the report taken at `reportedAt`; ages count from then, so that limits do not look newer with each exchange. */
  applyGrant(
    { limits, permits }: GrantedPermits,
    reportedAt: Milliseconds,
    now: Milliseconds,
  ): void {
    this.#answeredAt = now;
    this.#earningSince.clear();
    this.#limits.merge(limits, reportedAt);
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
