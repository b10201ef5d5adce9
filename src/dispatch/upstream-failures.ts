import { LRUCache } from 'lru-cache';

import type { Milliseconds } from '../common/index.js';

/** Learns which share of its requests each start of an upstream fails, as one gateway sees it; performs no I/O. */

/** Time after which an outcome counts half, so that an upstream that has recovered is used again. */
const halfLife: Milliseconds = 4000;
/** Successes that an upstream is assumed to have had, so that one failure does not exclude it. */
const assumedSuccesses = 3;
const maximumStarts = 10_000;

interface Outcomes {
  readonly failed: number;
  readonly succeeded: number;
  readonly updatedAt: Milliseconds;
}

export class UpstreamFailures {
  readonly #outcomes = new LRUCache<string, Outcomes>({ max: maximumStarts });

  note(key: string, isFailure: boolean, now: Milliseconds): void {
    const { failed, succeeded } = this.#read(key, now);
    this.#outcomes.set(key, {
      failed: failed + (isFailure ? 1 : 0),
      succeeded: succeeded + (isFailure ? 0 : 1),
      updatedAt: now,
    });
  }

  /** Between 0 and 1; 0 if nothing is known. */
  findShare(key: string, now: Milliseconds): number {
    const { failed, succeeded } = this.#read(key, now);
    return failed / (failed + succeeded + assumedSuccesses);
  }

  #read(key: string, now: Milliseconds): { readonly failed: number; readonly succeeded: number } {
    const { failed, succeeded, updatedAt } = this.#outcomes.get(key) ?? {
      failed: 0,
      succeeded: 0,
      updatedAt: now,
    };
    const left = 0.5 ** (Math.max(0, now - updatedAt) / halfLife);
    return { failed: failed * left, succeeded: succeeded * left };
  }
}
