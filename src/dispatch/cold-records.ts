import type { Milliseconds } from '../common/index.js';

/** Records which upstreams are cold, and since when that is known; free of I/O. Keyed by one start of an instance. */

/** A record is kept this long after its upstream was last listed, because a silent instance that returns is not a new start. */
const recordRetention: Milliseconds = 600_000;
/**
 * After a domain returns to service, statements of its upstreams count only from this time on. A heartbeat that was sent before the return
 * says "warm"; it may be forwarded by another control host, which gives up after 1.5 s.
 */
const returnSettleTime: Milliseconds = 1500;

/** What a process knows of one upstream, to be merged by another process. */
export interface ColdNotice {
  readonly upstream: string;
  /** How much longer the upstream is cold; 0 if it is warm. */
  readonly coldFor: Milliseconds;
  /** Time since the statement that this is from; negative while a returned domain settles. */
  readonly age: Milliseconds;
}

interface ColdRecord {
  readonly coldUntil: Milliseconds;
  /** Negative infinity for an assumption about a start that was only heard of; any statement replaces it. */
  readonly statedAt: Milliseconds;
  readonly listedAt: Milliseconds;
}

export class ColdRecords {
  readonly #records = new Map<string, ColdRecord>();

  /**
   * Adds starts heard of for the first time; each counts as cold for the given duration. Drops starts not listed for long. Returns the number
   * of starts that were added.
   */
  list(durations: ReadonlyMap<string, Milliseconds>, now: Milliseconds): number {
    let added = 0;
    for (const [upstream, duration] of durations) {
      const known = this.#records.get(upstream);
      added += known === undefined ? 1 : 0;
      const record = known ?? {
        coldUntil: now + duration,
        statedAt: Number.NEGATIVE_INFINITY,
      };
      this.#records.set(upstream, { ...record, listedAt: now });
    }
    for (const [upstream, { listedAt }] of this.#records) {
      if (now - listedAt > recordRetention) {
        this.#records.delete(upstream);
      }
    }
    return added;
  }

  /** The upstream's failure domain is back in service: it counts as cold for this long, unless it says otherwise later. */
  noteReturned(upstream: string, duration: Milliseconds, now: Milliseconds): void {
    this.#set(upstream, now + duration, now + returnSettleTime, now);
  }

  /** Merges a statement; the most recent one of each upstream is kept. Returns whether it replaced an older one. */
  merge({ upstream, coldFor, age }: ColdNotice, now: Milliseconds): boolean {
    const statedAt = now - age;
    const known = this.#records.get(upstream);
    if (known !== undefined && statedAt <= known.statedAt) {
      return false;
    }
    this.#set(upstream, now + coldFor, statedAt, now);
    return true;
  }

  /** How much longer the upstream is cold; 0 if it is warm or unknown. */
  coldFor(upstream: string, now: Milliseconds): Milliseconds {
    return Math.max(0, (this.#records.get(upstream)?.coldUntil ?? now) - now);
  }

  listCold(now: Milliseconds): readonly string[] {
    return [...this.#records].filter(([, { coldUntil }]) => coldUntil > now).map(([key]) => key);
  }

  /** What has been stated of all cold upstreams and of the given ones; assumptions are not passed on. */
  describe(asked: readonly string[], now: Milliseconds): readonly ColdNotice[] {
    const upstreams = new Set([...this.listCold(now), ...asked]);
    return [...upstreams].flatMap((upstream) => {
      const statedAt = this.#records.get(upstream)?.statedAt ?? Number.NEGATIVE_INFINITY;
      return Number.isFinite(statedAt)
        ? [{ upstream, coldFor: this.coldFor(upstream, now), age: now - statedAt }]
        : [];
    });
  }

  #set(upstream: string, coldUntil: Milliseconds, statedAt: Milliseconds, now: Milliseconds): void {
    this.#records.set(upstream, { coldUntil, statedAt, listedAt: now });
  }
}
