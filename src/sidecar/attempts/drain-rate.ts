import type { Milliseconds } from '../../common/index.js';

/** Service time assumed until the first response has been measured. */
const initialServiceTime: Milliseconds = 1000;
/** Weight of the newest sample in the moving average. */
const smoothingFactor = 0.1;
/** Lower bound for estimated waits and Retry-After values. */
const minimumEstimate: Milliseconds = 1;

/** Estimates how fast an upstream frees its slots, from the measured duration of its responses. */
export class DrainRate {
  #serviceTime = initialServiceTime;
  #samples = 0;

  /** Moving average of the time that an attempt occupies its slot. */
  get serviceTime(): Milliseconds {
    return this.#serviceTime;
  }

  /** Adds the time that one attempt occupied its slot. */
  recordServiceTime(duration: Milliseconds): void {
    this.#samples += 1;
    const weight = Math.max(smoothingFactor, 1 / this.#samples);
    this.#serviceTime += weight * (duration - this.#serviceTime);
  }

  /** Estimated time until `count` slots have been freed when all `capacity` slots are busy. */
  estimateWait(count: number, capacity: number): Milliseconds {
    return Math.max(minimumEstimate, (count * this.#serviceTime) / Math.max(1, capacity));
  }
}
