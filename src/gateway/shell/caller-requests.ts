import type { ServerResponse } from 'node:http';

import type { Logger } from 'pino';

import { createIdentifier, type Clock, type Milliseconds } from '../../common/index.js';
import { createRequestId } from '../../sidecar/attempts/index.js';
import type { Exchange } from '../caller-server.js';
import { CallerRequest } from './caller-request.js';

/** Requests described in the log of a shutdown; a gateway that is full has thousands. */
const maximumLoggedRequests = 100;

export interface CallerRequestsOptions {
  /** Whether the connection ends after this response; called when the response begins. */
  readonly endsConnection: (response: ServerResponse) => boolean;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The requests of a gateway's callers, each until its response has been sent or its connection has ended. */
export class CallerRequests {
  readonly #options: CallerRequestsOptions;
  readonly #requests = new Set<CallerRequest>();

  constructor(options: CallerRequestsOptions) {
    this.#options = options;
  }

  add({ response, receivedAt }: Exchange): CallerRequest {
    const { clock, endsConnection } = this.#options;
    const id = createRequestId(clock.wall(), createIdentifier());
    const caller = new CallerRequest(id, response, receivedAt, () => {
      return endsConnection(response);
    });
    this.#requests.add(caller);
    response.once('close', () => this.#requests.delete(caller));
    return caller;
  }

  tick(): void {
    for (const caller of this.#requests) {
      caller.tick();
    }
  }

  /** Ends all requests with their final answer. `stoppedAt`: when the gateway began to stop. */
  shutDown(stoppedAt: Milliseconds): void {
    if (this.#requests.size === 0) {
      return;
    }
    const { clock, logger } = this.#options;
    const now = clock.monotonic();
    const requests = [...this.#requests]
      .slice(0, maximumLoggedRequests)
      .map((caller) => caller.describe(now, stoppedAt));
    logger.warn(
      { after: Math.round(now - stoppedAt), count: this.#requests.size, requests },
      'shutdown hard limit reached; ending requests in flight',
    );
    for (const caller of this.#requests) {
      caller.shutDown();
    }
  }
}
