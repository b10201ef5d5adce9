import type { Milliseconds } from '../../common/index.js';

/** Service time assumed before the first answer was measured. */
const initialServiceTime: Milliseconds = 1000;
/** Weight of the newest service time in the moving average. */
const newestShare = 0.1;
/** Retry-After and waits are never estimated below this. */
const minimumEstimate: Milliseconds = 1;

/** How fast an upstream frees its slots, measured from the time its answers take. */
export class DrainRate {
  #serviceTime = initialServiceTime;
  #samples = 0;

  /** Mean time an attempt holds its slot. */
  get serviceTime(): Milliseconds {
    return this.#serviceTime;
  }

  /** Takes in the time one attempt held its slot. */
  recordServiceTime(duration: Milliseconds): void {
    this.#samples += 1;
    const share = Math.max(newestShare, 1 / this.#samples);
    this.#serviceTime += share * (duration - this.#serviceTime);
  }

  /** Time until `count` slots have been freed of `capacity` busy ones. */
  estimateWait(count: number, capacity: number): Milliseconds {
    return Math.max(minimumEstimate, (count * this.#serviceTime) / Math.max(1, capacity));
  }
}
