import type { Milliseconds } from '../../common/index.js';
import type { EngineProfile } from '../../routing/index.js';

/** Loads from the weight store that the leader may still order; free of I/O. */

/** The window over which the rate of the store is kept. */
const window: Milliseconds = 5000;
/** A load takes about this long; those that began within it are taken as under way. */
const loadDuration: Milliseconds = 16_000;

export class LoadBudget {
  #begun: readonly Milliseconds[] = [];

  /** A load was ordered. */
  note(now: Milliseconds): void {
    this.#begun = [...this.#begun, now];
  }

  /** Loads that may be ordered now. More at once would make each of them proportionally longer. */
  countAllowed({ loadsPerSecond, concurrentLoads }: EngineProfile, now: Milliseconds): number {
    this.#begun = this.#begun.filter((at) => now - at < loadDuration);
    const recent = this.#begun.filter((at) => now - at < window).length;
    const byRate = Math.floor((loadsPerSecond * window) / 1000) - recent;
    return Math.max(0, Math.min(byRate, concurrentLoads - this.#begun.length));
  }
}
