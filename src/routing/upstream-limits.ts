import type { Milliseconds } from '../common/index.js';

/** Rate limits that upstreams advertise in their answers; free of I/O. */

/** Time for which the end of a limit is kept, so that an older report cannot restore the limit. */
const endRetention: Milliseconds = 60_000;

/** Requests per second, across all gateways, even below this limit: only the answer to a request shows that a limit has ended. */
export const lowestPermitRate = 0.1;

/** The most recent information about the rate limit of one upstream. */
export interface UpstreamLimit {
  /** Identity of the upstream instance. */
  readonly upstream: string;
  /** Across all gateways; undefined if the limit has ended. */
  readonly requestsPerSecond: number | undefined;
  /** Time since the upstream answer that this information is from. */
  readonly age: Milliseconds;
}

interface KnownLimit {
  readonly requestsPerSecond: number | undefined;
  readonly receivedAt: Milliseconds;
}

/** Stores the most recent rate limit of each upstream. */
export class UpstreamLimits {
  readonly #limits = new Map<string, KnownLimit>();

  /** Requests per second across all gateways; undefined if no limit is known. */
  find(upstream: string): number | undefined {
    return this.#limits.get(upstream)?.requestsPerSecond;
  }

  /** Records the limit in an answer. Returns whether it differs from the previous one. */
  noteLimit(upstream: string, requestsPerSecond: number, now: Milliseconds): boolean {
    const previous = this.find(upstream);
    this.#limits.set(upstream, { requestsPerSecond, receivedAt: now });
    return previous !== requestsPerSecond;
  }

  /**
   * Removes the limit after an answer without one. Returns whether a limit was removed. The limit is kept if the request was not sent after the
   * limit was last received, because the upstream may have answered it before it set the limit.
   */
  noteUnlimited(upstream: string, sentAt: Milliseconds, now: Milliseconds): boolean {
    const known = this.#limits.get(upstream);
    if (known?.requestsPerSecond === undefined || sentAt <= known.receivedAt) {
      return false;
    }
    this.#limits.set(upstream, { requestsPerSecond: undefined, receivedAt: now });
    return true;
  }

  /** Merges the limits known to another process; the most recent one of each upstream is kept. */
  merge(limits: readonly UpstreamLimit[], now: Milliseconds): void {
    for (const { upstream, requestsPerSecond, age } of limits) {
      const receivedAt = now - age;
      const known = this.#limits.get(upstream);
      if (known === undefined || receivedAt > known.receivedAt) {
        this.#limits.set(upstream, { requestsPerSecond, receivedAt });
      }
    }
  }

  /** All limits and recent ends of limits, to be merged by other processes. */
  list(now: Milliseconds): readonly UpstreamLimit[] {
    for (const [upstream, { requestsPerSecond, receivedAt }] of this.#limits) {
      if (requestsPerSecond === undefined && now - receivedAt > endRetention) {
        this.#limits.delete(upstream);
      }
    }
    return [...this.#limits].map(([upstream, { requestsPerSecond, receivedAt }]) => {
      return { upstream, requestsPerSecond, age: now - receivedAt };
    });
  }

  /** Drops the limits of upstreams that are not listed. */
  retain(upstreams: ReadonlySet<string>): void {
    for (const upstream of this.#limits.keys()) {
      if (!upstreams.has(upstream)) {
        this.#limits.delete(upstream);
      }
    }
  }
}
