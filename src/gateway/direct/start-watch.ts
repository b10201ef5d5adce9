import type { Logger } from 'pino';

import type { Clock } from '../../common/index.js';
import type { RequestPermits } from '../../dispatch/index.js';
import { listColdProfiles, listReturned } from '../../routing/index.js';
import { emptyRoutingView, type RoutingView } from '../../watch/index.js';

/** Follows the routing state for starts of upstreams, and upstreams of domains that return to service: both are cold for a while. */

export interface StartWatchOptions {
  readonly permits: RequestPermits;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class StartWatch {
  readonly #options: StartWatchOptions;
  #lastView = emptyRoutingView;

  constructor(options: StartWatchOptions) {
    this.#options = options;
  }

  applyView(view: RoutingView): void {
    const { permits, clock, logger } = this.#options;
    const now = clock.monotonic();
    const starts = permits.listStarts(listColdProfiles(view, view.table?.document), now);
    if (starts > 0) {
      logger.info({ starts }, 'new starts count as cold');
    }
    const returned = listReturned(this.#lastView, view);
    this.#lastView = view;
    if (returned.length > 0) {
      permits.noteReturned(returned, now);
      logger.info({ upstreams: returned }, 'returned upstreams count as cold');
    }
  }
}
