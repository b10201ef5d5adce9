import type { Logger } from 'pino';

import type { Clock, Milliseconds } from '../../common/index.js';
import { Evacuations } from '../../dispatch/index.js';
import type { RoutingView } from '../../watch/index.js';
import type { DirectMetrics } from './direct-metrics.js';

/** Applies evacuations at a gateway: withdraws attempts when one takes effect, and logs it. */

export interface EvacuationWatchOptions {
  readonly evacuations: Evacuations;
  /** Withdraws the attempts that wait for a connection to an upstream that gets no more requests; returns their number. */
  readonly withdraw: () => number;
  readonly metrics: DirectMetrics;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class EvacuationWatch {
  readonly #options: EvacuationWatchOptions;
  readonly #inEffect = new Set<string>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: EvacuationWatchOptions) {
    this.#options = options;
  }

  applyView(view: RoutingView): void {
    const { evacuations, clock, logger } = this.#options;
    const now = clock.monotonic();
    const { began, ended } = evacuations.update(view, now);
    for (const { failureDomain, effectAt } of began) {
      const effectIn = Math.round(effectAt - now);
      logger.warn({ failureDomain, effectIn }, 'evacuation known');
    }
    for (const failureDomain of ended) {
      this.#inEffect.delete(failureDomain);
      logger.info(
        { failureDomain },
        'evacuation ended; upstreams of the domain get requests again',
      );
    }
    if (began.length > 0) {
      this.#applyEffects();
    }
  }

  close(): void {
    clearTimeout(this.#timer);
  }

  #applyEffects(): void {
    const { evacuations, clock, metrics, logger, withdraw } = this.#options;
    const now = clock.monotonic();
    const domains = evacuations
      .listEvacuated(now)
      .filter((failureDomain) => !this.#inEffect.has(failureDomain));
    if (domains.length > 0) {
      domains.forEach((failureDomain) => this.#inEffect.add(failureDomain));
      const withdrawn = withdraw();
      metrics.noteWithdrawn(withdrawn);
      logger.warn({ failureDomains: domains, withdrawn }, 'evacuation in effect');
    }
    this.#schedule(evacuations.nextEffectAfter(now), now);
  }

  #schedule(effectAt: Milliseconds | undefined, now: Milliseconds): void {
    clearTimeout(this.#timer);
    if (effectAt !== undefined) {
      this.#timer = setTimeout(
        () => {
          this.#applyEffects();
        },
        Math.ceil(effectAt - now),
      );
    }
  }
}
