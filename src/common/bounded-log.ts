import type { Logger } from 'pino';

import { LineBudget, type LineBudgetLimits } from './line-budget.js';
import type { Clock } from './time.js';

/** Log lines of one kind, bounded in number. */
export class BoundedLog {
  readonly #logger: Logger;
  readonly #clock: Clock;
  readonly #budget: LineBudget;

  constructor(logger: Logger, clock: Clock, limits: LineBudgetLimits) {
    this.#logger = logger;
    this.#clock = clock;
    this.#budget = new LineBudget(limits);
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
