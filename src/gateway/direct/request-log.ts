import type { Logger } from 'pino';

import { LineBudget, type Clock } from '../../common/index.js';

/** Lines about single requests, bounded in number. */

/**
 * Enough to explain any failure on a quiet day and a sample on a bad one: at 50 lines of 300 bytes a second a gateway writes 15 KB/s,
 * and takes about 1% of a core for it.
 */
const limits = { burst: 200, perSecond: 50 };

export class RequestLog {
  readonly #logger: Logger;
  readonly #clock: Clock;
  readonly #budget = new LineBudget(limits);

  constructor(logger: Logger, clock: Clock) {
    this.#logger = logger;
    this.#clock = clock;
  }

  /** Writes a line, or counts it as left out; the next line that is written says how many were. */
  note(fields: object, message: string): void {
    if (!this.#budget.take(this.#clock.monotonic())) {
      return;
    }
    const leftOut = this.#budget.takeLeftOut();
    this.#logger.info(leftOut === 0 ? fields : { ...fields, leftOut }, message);
  }
}
