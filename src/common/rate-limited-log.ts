import type { Logger } from 'pino';

import { LogRateLimiter, type LogRateLimits } from './log-rate-limiter.js';
import type { Clock } from './time.js';

/** Writes log lines of one kind at a limited rate. */
export class RateLimitedLog {
  readonly #logger: Logger;
  readonly #clock: Clock;
  readonly #limiter: LogRateLimiter;

  constructor(logger: Logger, clock: Clock, limits: LogRateLimits) {
    this.#logger = logger;
    this.#clock = clock;
    this.#limiter = new LogRateLimiter(limits);
  }

  /** Logs at level info, or counts the line as suppressed. The next line written reports the count as `leftOut`. */
  info(fields: object, message: string): void {
    if (!this.#limiter.tryTake(this.#clock.monotonic())) {
      return;
    }
    const leftOut = this.#limiter.takeSuppressedCount();
    this.#logger.info(leftOut === 0 ? fields : { ...fields, leftOut }, message);
  }
}
