import { PerformanceObserver } from 'node:perf_hooks';

import type { Logger } from 'pino';

import type { ManagedPart } from './lifecycle.js';
import type { Clock, Milliseconds } from './time.js';

/** Logs stalls of the event loop. While it stalls, the process answers nothing and no timeout takes effect. */

const checkInterval: Milliseconds = 100;
/** Shorter stalls stay within the time by which any answer may be late. */
const reportedStall: Milliseconds = 500;
const microsecondsPerMillisecond = 1000;

/** Totals since the start of the process. */
export interface ProcessUsage {
  readonly processorTime: Milliseconds;
  readonly garbageCollection: Milliseconds;
}

export interface EventLoopWatchOptions {
  readonly clock: Clock;
  readonly logger: Pick<Logger, 'warn'>;
  /** Reads the usage of this process by default. */
  readonly readUsage?: () => ProcessUsage;
}

export class EventLoopWatch implements ManagedPart {
  readonly name = 'event loop watch';
  readonly #clock: Clock;
  readonly #logger: Pick<Logger, 'warn'>;
  readonly #readUsage: () => ProcessUsage;
  readonly #collections = new PerformanceObserver((list) => {
    for (const { duration } of list.getEntries()) {
      this.#garbageCollection += duration;
    }
  });
  #garbageCollection: Milliseconds = 0;
  #timer: NodeJS.Timeout | undefined;
  #checkedAt: Milliseconds = 0;
  #usage: ProcessUsage = { processorTime: 0, garbageCollection: 0 };

  constructor({ clock, logger, readUsage }: EventLoopWatchOptions) {
    this.#clock = clock;
    this.#logger = logger;
    this.#readUsage = readUsage ?? (() => this.#readOwnUsage());
  }

  open(): void {
    this.#collections.observe({ entryTypes: ['gc'] });
    this.#start();
    this.#timer = setInterval(() => {
      this.check();
    }, checkInterval);
    this.#timer.unref();
  }

  close(): void {
    this.#collections.disconnect();
    clearInterval(this.#timer);
  }

  /** Compares the time since the last check with the interval between checks. */
  check(): void {
    const before = this.#usage;
    const delay = this.#clock.monotonic() - this.#checkedAt - checkInterval;
    this.#start();
    if (delay < reportedStall) {
      return;
    }
    this.#logger.warn(
      {
        delay: Math.round(delay),
        processorTime: Math.round(this.#usage.processorTime - before.processorTime),
        garbageCollection: Math.round(this.#usage.garbageCollection - before.garbageCollection),
      },
      'event loop stalled',
    );
  }

  #start(): void {
    this.#checkedAt = this.#clock.monotonic();
    this.#usage = this.#readUsage();
  }

  #readOwnUsage(): ProcessUsage {
    const { user, system } = process.cpuUsage();
    return {
      processorTime: (user + system) / microsecondsPerMillisecond,
      garbageCollection: this.#garbageCollection,
    };
  }
}
