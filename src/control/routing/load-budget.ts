import type { Milliseconds } from '../../common/index.js';
import type { EngineProfile } from '../../routing/index.js';

/** Loads from the weight store that the leader may still order; free of I/O. */

/** The window over which the rate of the store is kept. */
const window: Milliseconds = 5000;
/**
 * A load that has not ended after this many times its declared duration is forgotten: its order, or the word of its end, was lost. Loads that share
 * the store beyond what it gives at full speed take longer than declared.
 */
const longestShare = 1.5;

/** A load that was ordered. */
export interface OrderedLoad {
  readonly host: string;
  readonly model: string;
}

interface BegunLoad extends OrderedLoad {
  readonly at: Milliseconds;
  isOver: boolean;
}

export class LoadBudget {
  #begun: readonly BegunLoad[] = [];

  /** A load was ordered. */
  note(load: OrderedLoad, now: Milliseconds): void {
    this.#begun = [...this.#begun, { ...load, at: now, isOver: false }];
  }

  /**
   * Takes out what has ended. Taken for under way for a fixed time instead, loads that are over, or whose engine is lost, would keep empty
   * engines waiting for theirs.
   */
  settle(isUnderWay: (load: OrderedLoad) => boolean): void {
    for (const load of this.#begun) {
      load.isOver ||= !isUnderWay(load);
    }
  }

  /** Loads that may be ordered now. More at once would make each of them proportionally longer. */
  countAllowed(profile: EngineProfile, now: Milliseconds): number {
    const { loadsPerSecond, concurrentLoads } = profile;
    this.#begun = this.#begun.filter(({ at, model, isOver }) => {
      return now - at < window || (!isOver && now - at < findLongest(profile, model));
    });
    const underWay = this.#begun.filter(({ isOver }) => !isOver).length;
    const recent = this.#begun.filter(({ at }) => now - at < window).length;
    const byRate = Math.floor((loadsPerSecond * window) / 1000) - recent;
    return Math.max(0, Math.min(byRate, concurrentLoads - underWay));
  }
}

function findLongest({ models }: EngineProfile, name: string): Milliseconds {
  const model = models.find((each) => each.name === name);
  return (model?.loadDuration ?? 0) * longestShare;
}
