import { LRUCache } from 'lru-cache';

import type { Milliseconds } from '../common/index.js';

/** Tracks which upstreams have asked this gateway for a pause, or are shutting down; performs no I/O. */

/**
 * Upstreams remembered at most, the most recent ones. They are remembered independently of the routing state: an upstream may be missing
 * from it for a while and return before its pause is over.
 */
const maximumUpstreams = 10_000;

/** Why an upstream should get no requests. `paused`: it asked for a pause. `leaving`: it is shutting down. */
export type Unavailability = 'paused' | 'leaving';

export class UpstreamAvailability {
  /** End of the pause of each upstream, by identity of the instance. */
  readonly #pausedUntil = new LRUCache<string, Milliseconds>({ max: maximumUpstreams });
  readonly #leaving = new LRUCache<string, true>({ max: maximumUpstreams });

  /** Records that the upstream asked for a pause of this length. Returns whether a pause begins. */
  notePause(upstream: string, duration: Milliseconds, now: Milliseconds): boolean {
    const before = this.pausedUntil(upstream, now);
    this.#pausedUntil.set(upstream, Math.max(before ?? 0, now + duration));
    return before === undefined && duration > 0;
  }

  /** Records that the upstream is shutting down, which it does not take back. Returns whether that was unknown. */
  noteLeaving(upstream: string): boolean {
    const isNew = !this.#leaving.has(upstream);
    this.#leaving.set(upstream, true);
    return isNew;
  }

  isLeaving(upstream: string): boolean {
    return this.#leaving.has(upstream);
  }

  /** End of the pause that the upstream asked for; undefined if there is none now. */
  pausedUntil(upstream: string, now: Milliseconds): Milliseconds | undefined {
    const until = this.#pausedUntil.get(upstream);
    return until !== undefined && until > now ? until : undefined;
  }

  /** Undefined if the upstream may be sent requests. */
  findUnavailability(upstream: string, now: Milliseconds): Unavailability | undefined {
    if (this.isLeaving(upstream)) {
      return 'leaving';
    }
    return this.pausedUntil(upstream, now) === undefined ? undefined : 'paused';
  }
}
