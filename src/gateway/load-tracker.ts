import type { Milliseconds } from '../common/index.js';
import type { GroupName, Load } from '../model/index.js';

/** Half-life of the weight that a report gives to other gateways' attempts. */
const reportHalfLife: Milliseconds = 2000;
/** Capacity assumed until a group has reported one. */
const assumedCapacity = 16;
/** Weight of the newest sample in the moving average of times to first token. */
const firstTokenSmoothing = 0.1;
/** Lower bound of the weight of a slow group, so that it keeps some of its keys. */
const minimumWeight = 0.1;
/** Up to this multiple of the median time to first token a group keeps its full weight. */
const stragglerThreshold = 1.5;
/** How long an unresponsive group is avoided; doubles with each consecutive failure. */
const initialAvoidance: Milliseconds = 500;
const maximumAvoidance: Milliseconds = 10_000;

interface GroupLoad {
  ownAttempts: number;
  ownAttemptsAtReport: number;
  reported: Load | undefined;
  reportedAt: Milliseconds;
  averageFirstToken: Milliseconds | undefined;
  failures: number;
  avoidedUntil: Milliseconds;
  /** End of the pause that the upstream of the group asked for. */
  pausedUntil: Milliseconds;
}

/**
 * Tracks the load and health of each group as one gateway sees them. Its own attempts are counted immediately; those of
 * other gateways are known only from delayed reports. Nothing is broadcast: sidecars attach their load to answers.
 */
export class LoadTracker {
  readonly #entries = new Map<GroupName, GroupLoad>();

  /**
   * Counts an attempt that was sent. An attempt to a group that failed last time is a probe: other requests avoid the
   * group until it answers. Otherwise every request sent before the probe fails would run into the silence timeout too.
   */
  noteStarted(group: GroupName, now: Milliseconds): void {
    const entry = this.#entry(group);
    entry.ownAttempts += 1;
    if (entry.failures > 0) {
      entry.avoidedUntil = Math.max(entry.avoidedUntil, now + computeAvoidance(entry.failures));
    }
  }

  noteFinished(group: GroupName): void {
    const entry = this.#entry(group);
    entry.ownAttempts = Math.max(0, entry.ownAttempts - 1);
  }

  /** Records the load that a sidecar sent with an answer. */
  noteReport(group: GroupName, load: Load, now: Milliseconds): void {
    const entry = this.#entry(group);
    entry.reported = load;
    entry.reportedAt = now;
    entry.ownAttemptsAtReport = entry.ownAttempts;
  }

  /** The group answered, so it is no longer avoided. */
  noteAlive(group: GroupName): void {
    const entry = this.#entry(group);
    entry.failures = 0;
    entry.avoidedUntil = 0;
  }

  /** The group did not answer or its connection went silent: avoids it, twice as long with each consecutive failure. */
  noteFailure(group: GroupName, now: Milliseconds): void {
    const entry = this.#entry(group);
    entry.avoidedUntil = now + computeAvoidance(entry.failures);
    entry.failures += 1;
  }

  /** The upstream of the group asked for a pause. Unlike a failure, an answer to an earlier attempt does not end it. */
  notePause(group: GroupName, pause: Milliseconds, now: Milliseconds): void {
    const entry = this.#entry(group);
    entry.pausedUntil = Math.max(entry.pausedUntil, now + pause);
  }

  /** Records the time from sending an attempt to its first byte. */
  noteFirstToken(group: GroupName, duration: Milliseconds): void {
    const entry = this.#entry(group);
    const before = entry.averageFirstToken ?? duration;
    entry.averageFirstToken = before + firstTokenSmoothing * (duration - before);
  }

  isAvoided(group: GroupName, now: Milliseconds): boolean {
    const { avoidedUntil = 0, pausedUntil = 0 } = this.#entries.get(group) ?? {};
    return now < Math.max(avoidedUntil, pausedUntil);
  }

  /** Estimated load of a group with one more attempt, as a fraction of its capacity. */
  estimateLoad(group: GroupName, now: Milliseconds): number {
    const entry = this.#entries.get(group);
    if (entry === undefined) {
      return 1 / assumedCapacity;
    }
    const { reported } = entry;
    if (reported === undefined) {
      return (entry.ownAttempts + 1) / assumedCapacity;
    }
    const others = Math.max(0, reported.running + reported.queued - entry.ownAttemptsAtReport);
    const share = 0.5 ** ((now - entry.reportedAt) / reportHalfLife);
    return (entry.ownAttempts + others * share + 1) / Math.max(1, reported.capacity);
  }

  /** Weights for rendezvous hashing: reduced for groups that are much slower than the median of the candidates. */
  computeWeights(groups: readonly GroupName[]): ReadonlyMap<GroupName, number> {
    const median = computeMedian(
      groups.flatMap((group) => this.#entries.get(group)?.averageFirstToken ?? []),
    );
    return new Map(groups.map((group) => [group, this.#computeWeight(group, median)]));
  }

  /** Removes groups that no longer exist and have no attempt in flight. */
  retain(groups: ReadonlySet<GroupName>): void {
    for (const [group, entry] of this.#entries) {
      if (!groups.has(group) && entry.ownAttempts === 0) {
        this.#entries.delete(group);
      }
    }
  }

  #computeWeight(group: GroupName, median: Milliseconds | undefined): number {
    const own = this.#entries.get(group)?.averageFirstToken;
    if (own === undefined || median === undefined || own <= stragglerThreshold * median) {
      return 1;
    }
    return Math.max(minimumWeight, median / own);
  }

  #entry(group: GroupName): GroupLoad {
    const known = this.#entries.get(group);
    if (known !== undefined) {
      return known;
    }
    const created: GroupLoad = {
      ownAttempts: 0,
      ownAttemptsAtReport: 0,
      reported: undefined,
      reportedAt: 0,
      averageFirstToken: undefined,
      failures: 0,
      avoidedUntil: 0,
      pausedUntil: 0,
    };
    this.#entries.set(group, created);
    return created;
  }
}

function computeAvoidance(failures: number): Milliseconds {
  return Math.min(maximumAvoidance, initialAvoidance * 2 ** failures);
}

function computeMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
