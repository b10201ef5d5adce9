import type { BoundedLog, Clock } from '../../common/index.js';
import type { Delivery } from './delivery.js';
import { StreamProgress } from './stream-progress.js';
import type { TargetLoads } from './target-loads.js';

/** Looks after targets that stand still: nothing new goes there while there are others, and what they have goes on elsewhere where it may. */

/** Options of the watch. */
export interface StallWatchOptions {
  readonly progress: StreamProgress;
  readonly loads: TargetLoads;
  /** What is under way. */
  readonly deliveries: ReadonlySet<Delivery>;
  readonly clock: Clock;
  readonly log: BoundedLog;
}

export class StallWatch {
  readonly #options: StallWatchOptions;
  /** Targets that stood still at the last look. */
  #stalled: ReadonlySet<string> = new Set();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: StallWatchOptions) {
    this.#options = options;
  }

  open(): void {
    this.#timer = setInterval(() => {
      this.#look();
    }, StreamProgress.checkInterval);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #look(): void {
    const { progress, loads, deliveries, clock } = this.#options;
    const now = clock.monotonic();
    const { doubted, stalled } = progress.review(now);
    this.#note(stalled);
    for (const key of doubted) {
      loads.suspect({ key }, now);
    }
    if (stalled.size === 0) {
      return;
    }
    for (const delivery of deliveries) {
      delivery.noteStalled(stalled);
    }
  }

  #note(stalled: ReadonlySet<string>): void {
    for (const target of stalled) {
      if (!this.#stalled.has(target)) {
        this.#options.log.note({ target }, 'target stands still');
      }
    }
    this.#stalled = stalled;
  }
}
