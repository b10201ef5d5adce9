import type { Milliseconds } from '../common/index.js';
import type { GroupName, Load } from '../model/index.js';

/** Half-life of what a load report says of other gateways' work. */
const reportHalfLife: Milliseconds = 2000;
/** Capacity assumed before a group has reported one. */
const assumedCapacity = 16;
/** Weight of the newest first-token time in the moving average. */
const newestShare = 0.1;
/** A group this many times slower than the median keeps this share of its keys at least. */
const minimumWeight = 0.1;
/** Below this many times the median a group counts as ordinary. */
const ordinarySlowness = 1.5;
/** How long a group that did not answer is avoided; doubles with each failure in a row. */
const firstAvoidance: Milliseconds = 500;
const longestAvoidance: Milliseconds = 10_000;

interface Entry {
  own: number;
  ownAtReport: number;
  reported: Load | undefined;
  reportedAt: Milliseconds;
  firstToken: Milliseconds | undefined;
  failures: number;
  avoidedUntil: Milliseconds;
}

/**
 * What one gateway knows of the load and the health of each group: its own attempts at once, the rest by reports
 * that are late. Nothing is broadcast; each answer of a sidecar brings its load along.
 */
export class LoadBook {
  readonly #entries = new Map<GroupName, Entry>();

  /**
   * An attempt was sent. To a group that did not answer last time it is a probe: the others go elsewhere until it answers.
   * Otherwise every request that comes before the probe has failed in its turn would wait out the silence as well.
   */
  noteStarted(group: GroupName, now: Milliseconds): void {
    const entry = this.#entry(group);
    entry.own += 1;
    if (entry.failures > 0) {
      entry.avoidedUntil = Math.max(entry.avoidedUntil, now + findAvoidance(entry.failures));
    }
  }

  noteFinished(group: GroupName): void {
    const entry = this.#entry(group);
    entry.own = Math.max(0, entry.own - 1);
  }

  /** Takes in a load that a sidecar sent with an answer. */
  noteReport(group: GroupName, load: Load, now: Milliseconds): void {
    const entry = this.#entry(group);
    entry.reported = load;
    entry.reportedAt = now;
    entry.ownAtReport = entry.own;
  }

  /** The group answered: it is no longer avoided. */
  noteAlive(group: GroupName): void {
    const entry = this.#entry(group);
    entry.failures = 0;
    entry.avoidedUntil = 0;
  }

  /** The group did not answer, or its connection went silent: it is avoided for a while, longer each time. */
  noteFailure(group: GroupName, now: Milliseconds): void {
    const entry = this.#entry(group);
    entry.avoidedUntil = now + findAvoidance(entry.failures);
    entry.failures += 1;
  }

  /** Takes in the time from sending an attempt to its first byte. */
  noteFirstToken(group: GroupName, duration: Milliseconds): void {
    const entry = this.#entry(group);
    const before = entry.firstToken ?? duration;
    entry.firstToken = before + newestShare * (duration - before);
  }

  isAvoided(group: GroupName, now: Milliseconds): boolean {
    return now < (this.#entries.get(group)?.avoidedUntil ?? 0);
  }

  /** Estimated load of a group with one more attempt, as a share of its capacity. */
  estimateLoad(group: GroupName, now: Milliseconds): number {
    const entry = this.#entries.get(group);
    if (entry === undefined) {
      return 1 / assumedCapacity;
    }
    const { reported } = entry;
    if (reported === undefined) {
      return (entry.own + 1) / assumedCapacity;
    }
    const others = Math.max(0, reported.running + reported.queued - entry.ownAtReport);
    const share = 0.5 ** ((now - entry.reportedAt) / reportHalfLife);
    return (entry.own + others * share + 1) / Math.max(1, reported.capacity);
  }

  /** Share of its keys that a group gets: less for one that is much slower than the median of the candidates. */
  findWeights(groups: readonly GroupName[]): ReadonlyMap<GroupName, number> {
    const median = findMedian(
      groups.flatMap((group) => this.#entries.get(group)?.firstToken ?? []),
    );
    return new Map(groups.map((group) => [group, this.#findWeight(group, median)]));
  }

  /** Forgets the groups that are gone. */
  retain(groups: ReadonlySet<GroupName>): void {
    for (const [group, entry] of this.#entries) {
      if (!groups.has(group) && entry.own === 0) {
        this.#entries.delete(group);
      }
    }
  }

  #findWeight(group: GroupName, median: Milliseconds | undefined): number {
    const own = this.#entries.get(group)?.firstToken;
    if (own === undefined || median === undefined || own <= ordinarySlowness * median) {
      return 1;
    }
    return Math.max(minimumWeight, median / own);
  }

  #entry(group: GroupName): Entry {
    const known = this.#entries.get(group);
    if (known !== undefined) {
      return known;
    }
    const created: Entry = {
      own: 0,
      ownAtReport: 0,
      reported: undefined,
      reportedAt: 0,
      firstToken: undefined,
      failures: 0,
      avoidedUntil: 0,
    };
    this.#entries.set(group, created);
    return created;
  }
}

function findAvoidance(failures: number): Milliseconds {
  return Math.min(longestAvoidance, firstAvoidance * 2 ** failures);
}

function findMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
