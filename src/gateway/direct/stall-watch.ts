import type { RateLimitedLog, Clock } from '../../common/index.js';
import type { TargetLoads } from '../../dispatch/index.js';
import type { Delivery } from './delivery.js';
import { StreamProgress } from './stream-progress.js';

/** Reacts to stalled targets: new requests avoid them while there are others, and retryable requests in flight there move elsewhere. */

export interface StallWatchOptions {
  readonly progress: StreamProgress;
  readonly loads: TargetLoads;
  /** Deliveries in flight. */
  readonly deliveries: Iterable<Delivery>;
  readonly clock: Clock;
  readonly log: RateLimitedLog;
}

export class StallWatch {
  readonly #options: StallWatchOptions;
  /** Targets that were stalled at the last check. */
  #stalled: ReadonlySet<string> = new Set();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: StallWatchOptions) {
    this.#options = options;
  }

  open(): void {
    this.#timer = setInterval(() => {
      this.#check();
    }, StreamProgress.checkInterval);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #check(): void {
    const { progress, loads, deliveries, clock } = this.#options;
    const now = clock.monotonic();
    const { unrecovered, stalled } = progress.review(now);
    this.#logStalled(stalled);
    for (const key of unrecovered) {
      loads.suspect({ key }, now);
    }
    if (stalled.size === 0) {
      return;
    }
    for (const delivery of deliveries) {
      delivery.noteStalled(stalled);
    }
  }

  #logStalled(stalled: ReadonlySet<string>): void {
    for (const target of stalled) {
      if (!this.#stalled.has(target)) {
        this.#options.log.info({ target }, 'target has stalled');
      }
    }
    this.#stalled = stalled;
  }
}
