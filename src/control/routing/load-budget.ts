import type { Milliseconds } from '../../common/index.js';
import type { EngineProfile } from '../../routing/index.js';

/** Limits how many model loads from the weight store the leader may order; free of I/O. */

/** Window over which the load rate of the store is limited. */
const rateWindow: Milliseconds = 5000;
/**
 * A load that has not finished after this multiple of its declared duration is dropped, because its order or the report of its end was
 * lost. Loads take longer than declared when together they need more than the full bandwidth of the store.
 */
const maxDurationFactor = 1.5;

/** An ordered load. */
export interface OrderedLoad {
  readonly host: string;
  readonly model: string;
}

interface StartedLoad extends OrderedLoad {
  readonly at: Milliseconds;
  isFinished: boolean;
}

export class LoadBudget {
  #started: readonly StartedLoad[] = [];

  /** Records an ordered load. */
  recordOrdered(load: OrderedLoad, now: Milliseconds): void {
    this.#started = [...this.#started, { ...load, at: now, isFinished: false }];
  }

  /**
   * Marks loads that have finished. If loads were counted for a fixed time instead, finished loads and loads of lost engines would
   * delay the loads of empty engines.
   */
  updateFinished(isLoading: (load: OrderedLoad) => boolean): void {
    for (const load of this.#started) {
      load.isFinished ||= !isLoading(load);
    }
  }

  /** Number of loads that may be ordered now. More concurrent loads would slow each of them down proportionally. */
  countAllowed(profile: EngineProfile, now: Milliseconds): number {
    const { loadsPerSecond, concurrentLoads } = profile;
    this.#started = this.#started.filter(({ at, model, isFinished }) => {
      return now - at < rateWindow || (!isFinished && now - at < findMaxDuration(profile, model));
    });
    const loading = this.#started.filter(({ isFinished }) => !isFinished).length;
    const recent = this.#started.filter(({ at }) => now - at < rateWindow).length;
    const byRate = Math.floor((loadsPerSecond * rateWindow) / 1000) - recent;
    return Math.max(0, Math.min(byRate, concurrentLoads - loading));
  }
}

function findMaxDuration({ models }: EngineProfile, name: string): Milliseconds {
  const model = models.find((each) => each.name === name);
  return (model?.loadDuration ?? 0) * maxDurationFactor;
}
