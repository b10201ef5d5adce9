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

/** The buckets of one target at one resolution: the present one open, older ones encoded, the oldest forgotten. */
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
    const open = this.#findOpen(now);
    countOutcome(open, outcome);
    if (firstToken !== undefined) {
      this.#firstTokens.record(firstToken);
    }
  }

  /** The buckets that are still kept at a time, oldest first. */
  read(now: WallTime): readonly ServiceLevelBucket[] {
    const buckets = this.#open === undefined ? [] : [...this.#closed, this.#encode(this.#open)];
    const oldest = this.#findOldestKept(Math.max(now, this.#open?.start ?? now));
    return buckets.filter((bucket) => bucket.start >= oldest);
  }

  #findOpen(now: WallTime): OpenBucket {
    const start = findBucketStart(this.#resolution, now);
    // A wall clock that was set back would open an older bucket after a newer one, and a window would count neither
    // rightly; what comes until the clock has caught up goes into the newest bucket.
    if (this.#open !== undefined && start <= this.#open.start) {
      return this.#open;
    }
    if (this.#open !== undefined) {
      this.#closed.push(this.#encode(this.#open));
      this.#firstTokens.reset();
    }
    this.#forgetBefore(this.#findOldestKept(start));
    this.#open = { start, whole: 0, failed: 0, notRun: 0 };
    return this.#open;
  }

  #findOldestKept(now: WallTime): WallTime {
    const { bucketCount, bucketLength } = this.#resolution;
    return findBucketStart(this.#resolution, now) - (bucketCount - 1) * bucketLength;
  }

  #forgetBefore(oldest: WallTime): void {
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
