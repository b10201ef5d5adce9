import type { Logger } from 'pino';

import type { Clock } from '../../common/index.js';
import type { DirectMetrics } from './direct-metrics.js';
import type { WaitingRequests } from './waiting-requests.js';

/** Exchanges the work of accounts with control, so that waiting requests are fair among accounts over all gateways. */

export interface AccountFairnessOptions {
  /** Undefined if waiting requests are served newest first, regardless of accounts. */
  readonly waiting: WaitingRequests | undefined;
  readonly metrics: DirectMetrics;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class AccountFairness {
  readonly #options: AccountFairnessOptions;
  /** Whether control has told this gateway its share of the accounts' work. */
  #hasShares = false;

  constructor(options: AccountFairnessOptions) {
    this.#options = options;
  }

  /** Returns the work by account since the previous call; empty if waiting requests are served newest first. */
  takeWork(): ReadonlyMap<string, number> {
    const { waiting, clock, logger, metrics } = this.#options;
    if (waiting === undefined) {
      return new Map();
    }
    const { accountWork } = waiting;
    const hasShares = accountWork.hasShares(clock.monotonic());
    if (hasShares !== this.#hasShares) {
      this.#hasShares = hasShares;
      const source = hasShares ? 'control' : 'this gateway';
      logger.info({ source }, 'source of the fairness among accounts changed');
    }
    const work = accountWork.takeReport();
    metrics.noteAccountWork(work);
    return work;
  }

  /** Applies the share of each account's work that arises at this gateway. */
  applyShares(shares: ReadonlyMap<string, number>): void {
    const { waiting, clock } = this.#options;
    waiting?.accountWork.applyShares(shares, clock.monotonic());
  }
}
