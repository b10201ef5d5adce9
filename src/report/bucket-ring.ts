import { assertNever, type Milliseconds, type WallTime } from '../common/index.js';
import {
  findBucketStart,
  type Resolution,
  type ServiceLevelBucket,
  type ServiceLevelOutcome,
} from './counters.js';
import { FirstTokenHistogram } from './first-token-histogram.js';

interface OpenBucket {
  readonly start: WallTime;
  whole: number;
  failed: number;
  notRun: number;
}

/** The buckets of one target at one resolution: the current one is open, older ones are encoded, the oldest are evicted. */
export class BucketRing {
  readonly #resolution: Resolution;
  readonly #closed: ServiceLevelBucket[] = [];
  readonly #firstTokens = new FirstTokenHistogram();
  #open: OpenBucket | undefined;

  constructor(resolution: Resolution) {
    this.#resolution = resolution;
  }

  /** Start of the newest bucket; undefined before the first record. */
  get newestStart(): WallTime | undefined {
    return this.#open?.start;
  }

  record(outcome: ServiceLevelOutcome, firstToken: Milliseconds | undefined, now: WallTime): void {
    const open = this.#advanceOpenBucket(now);
    countOutcome(open, outcome);
    if (firstToken !== undefined) {
      this.#firstTokens.record(firstToken);
    }
  }

  /** Returns the buckets still retained at the given time, oldest first. */
  read(now: WallTime): readonly ServiceLevelBucket[] {
    const buckets = this.#open === undefined ? [] : [...this.#closed, this.#encode(this.#open)];
    const oldest = this.#computeOldestKeptStart(Math.max(now, this.#open?.start ?? now));
    return buckets.filter((bucket) => bucket.start >= oldest);
  }

  #advanceOpenBucket(now: WallTime): OpenBucket {
    const start = findBucketStart(this.#resolution, now);
    // A wall clock that was set back would open an older bucket after a newer one, and windows would count both wrongly.
    // Until the clock has caught up, requests are counted in the newest bucket.
    if (this.#open !== undefined && start <= this.#open.start) {
      return this.#open;
    }
    if (this.#open !== undefined) {
      this.#closed.push(this.#encode(this.#open));
      this.#firstTokens.reset();
    }
    this.#evictBefore(this.#computeOldestKeptStart(start));
    this.#open = { start, whole: 0, failed: 0, notRun: 0 };
    return this.#open;
  }

  #computeOldestKeptStart(now: WallTime): WallTime {
    const { bucketCount, bucketLength } = this.#resolution;
    return findBucketStart(this.#resolution, now) - (bucketCount - 1) * bucketLength;
  }

  #evictBefore(oldest: WallTime): void {
    const kept = this.#closed.findIndex((bucket) => bucket.start >= oldest);
    this.#closed.splice(0, kept === -1 ? this.#closed.length : kept);
  }

  #encode(open: OpenBucket): ServiceLevelBucket {
    return { ...open, firstTokens: this.#firstTokens.encode() };
  }
}

function countOutcome(bucket: OpenBucket, outcome: ServiceLevelOutcome): void {
  switch (outcome) {
    case 'whole':
      bucket.whole += 1;
      return;
    case 'failed':
      bucket.failed += 1;
      return;
    case 'notRun':
      bucket.notRun += 1;
      return;
    default:
      assertNever(outcome);
  }
}
