import type { Milliseconds, WallTime } from '../common/index.js';
import {
  findBucketStart,
  hourResolution,
  type ServiceLevelBucket,
  type TargetCounters,
} from './counters.js';
import type { BurnWindow } from './burn-windows.js';
import { FirstTokenHistogram, type Percentiles } from './first-token-histogram.js';

/** Sums over the buckets of a window. */
export interface WindowCounts {
  readonly whole: number;
  readonly failed: number;
  readonly notRun: number;
  /** First tokens within the threshold, and later ones. */
  readonly fast: number;
  readonly slow: number;
}

export const zeroCounts: WindowCounts = { whole: 0, failed: 0, notRun: 0, fast: 0, slow: 0 };

/** The counters of one target, summed over the gateways that answered. */
export class MergedCounters {
  readonly #minutes: ReadonlyMap<WallTime, WindowCounts>;
  readonly #hours: ReadonlyMap<WallTime, WindowCounts>;
  readonly #counters: readonly TargetCounters[];

  /** @param threshold - Longest time to the first token that counts as fast; undefined without such an objective. */
  constructor(counters: readonly TargetCounters[], threshold: Milliseconds | undefined) {
    this.#counters = counters;
    this.#minutes = mergeBuckets(
      counters.flatMap(({ minutes }) => minutes),
      threshold,
    );
    this.#hours = mergeBuckets(
      counters.flatMap(({ hours }) => hours),
      threshold,
    );
  }

  /** Sums the window that ends with the bucket containing `at`. */
  sum(window: BurnWindow, at: WallTime): WindowCounts {
    const { bucketLength } = window.resolution;
    const buckets = this.#findBuckets(window);
    const newest = findBucketStart(window.resolution, at);
    let counts = zeroCounts;
    for (let start = newest; start > newest - window.length; start -= bucketLength) {
      counts = addCounts(counts, buckets.get(start) ?? zeroCounts);
    }
    return counts;
  }

  /** Percentiles of the time to the first token over a window at minute resolution; undefined if there were none. */
  readPercentiles(window: BurnWindow, at: WallTime): Percentiles | undefined {
    const newest = findBucketStart(window.resolution, at);
    const histogram = new FirstTokenHistogram();
    for (const bucket of this.#counters.flatMap(({ minutes }) => minutes)) {
      const isInside = bucket.start <= newest && bucket.start > newest - window.length;
      if (isInside && bucket.firstTokens !== null) {
        histogram.addEncoded(bucket.firstTokens);
      }
    }
    return histogram.readPercentiles();
  }

  #findBuckets(window: BurnWindow): ReadonlyMap<WallTime, WindowCounts> {
    return window.resolution === hourResolution ? this.#hours : this.#minutes;
  }
}

function mergeBuckets(
  buckets: readonly ServiceLevelBucket[],
  threshold: Milliseconds | undefined,
): ReadonlyMap<WallTime, WindowCounts> {
  const merged = new Map<WallTime, WindowCounts>();
  for (const bucket of buckets) {
    const counts = addCounts(
      merged.get(bucket.start) ?? zeroCounts,
      countBucket(bucket, threshold),
    );
    merged.set(bucket.start, counts);
  }
  return merged;
}

function countBucket(
  bucket: ServiceLevelBucket,
  threshold: Milliseconds | undefined,
): WindowCounts {
  const { whole, failed, notRun, firstTokens } = bucket;
  if (firstTokens === null || threshold === undefined) {
    return { whole, failed, notRun, fast: 0, slow: 0 };
  }
  const histogram = new FirstTokenHistogram();
  histogram.addEncoded(firstTokens);
  const fast = histogram.countUpTo(threshold);
  return { whole, failed, notRun, fast, slow: histogram.count - fast };
}

function addCounts(left: WindowCounts, right: WindowCounts): WindowCounts {
  return {
    whole: left.whole + right.whole,
    failed: left.failed + right.failed,
    notRun: left.notRun + right.notRun,
    fast: left.fast + right.fast,
    slow: left.slow + right.slow,
  };
}
