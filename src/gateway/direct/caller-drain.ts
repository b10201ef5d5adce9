import type { IncomingMessage } from 'node:http';

import type { Logger } from 'pino';

import { pause, type Clock, type Milliseconds } from '../../common/index.js';
import { findPhase, type CallerServer, type Exchange } from '../caller-server.js';
import type { ActiveDeliveries } from './active-deliveries.js';

/** Finishes the requests of callers when a gateway stops. */

/**
 * Time between becoming unready and closing the port. A load balancer removes a gateway after two failed checks, one second apart. Requests
 * that come later are rejected: what is left of the grace period may be too short for them.
 */
const unreadyPeriod: Milliseconds = 2500;
/** Requests still in flight this long before the end of the grace period are ended with a failure. */
const graceMargin: Milliseconds = 400;
/** Responses that have not been sent this long before the end of the grace period are reset; the rest of it is for the other parts. */
const sendingMargin: Milliseconds = 150;
const pollInterval: Milliseconds = 50;
/** Log lines about single requests; a gateway that is full has thousands. */
const maximumLoggedRequests = 100;

export interface CallerDrainOptions {
  readonly server: CallerServer;
  readonly deliveries: ActiveDeliveries;
  /** Time from the signal until the process has ended. */
  readonly grace: Milliseconds;
  readonly identify: (request: IncomingMessage) => string | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class CallerDrain {
  readonly #options: CallerDrainOptions;
  #startedAt: Milliseconds | undefined;

  constructor(options: CallerDrainOptions) {
    this.#options = options;
  }

  /** Becomes unready, then closes the port, then waits until all responses have been sent or the grace period ends. */
  async run(): Promise<void> {
    const { server, deliveries, grace, clock } = this.#options;
    const startedAt = clock.monotonic();
    this.#startedAt = startedAt;
    server.leave();
    this.#logOwed('finishing the requests of callers');
    await sleep(Math.min(unreadyPeriod, grace / 2));
    await readArrived();
    server.close();
    this.#logOwed('port closed');
    await this.#waitForResponses(startedAt + grace - graceMargin);
    this.#logUnfinished();
    deliveries.stop();
    await this.#waitForResponses(startedAt + grace - sendingMargin);
    this.#resetUnsent();
  }

  get isStopping(): boolean {
    return this.#startedAt !== undefined;
  }

  async #waitForResponses(end: Milliseconds): Promise<void> {
    const { server, clock } = this.#options;
    while (server.exchanges.length > 0 && clock.monotonic() < end) {
      await sleep(pollInterval);
    }
  }

  #logOwed(message: string): void {
    const { server, deliveries, logger } = this.#options;
    const owed = { ...server.countExchanges(), deliveries: deliveries.size };
    logger.info({ after: this.#measure(), connections: server.connectionCount, owed }, message);
  }

  #logUnfinished(): void {
    const { server, logger } = this.#options;
    const { exchanges } = server;
    if (exchanges.length === 0) {
      return;
    }
    this.#logOwed('requests left at the end of the grace period');
    for (const exchange of exchanges.slice(0, maximumLoggedRequests)) {
      logger.info(this.#describe(exchange), 'request left at the end of the grace period');
    }
  }

  #resetUnsent(): void {
    const { server, logger } = this.#options;
    const { length } = server.exchanges;
    if (length > 0) {
      logger.warn(
        { after: this.#measure(), cut: length },
        'connections reset with their responses unsent',
      );
      server.resetOwing();
    }
  }

  #describe(exchange: Exchange): object {
    const { identify, clock } = this.#options;
    const { request, response, receivedAt } = exchange;
    return {
      requestId: identify(request),
      phase: findPhase(exchange),
      isBegun: response.headersSent,
      age: Math.round(clock.monotonic() - receivedAt),
      // Negative if it was received before the stop.
      receivedAfter: Math.round(receivedAt - (this.#startedAt ?? receivedAt)),
    };
  }

  #measure(): Milliseconds {
    const now = this.#options.clock.monotonic();
    return Math.round(now - (this.#startedAt ?? now));
  }
}

/** Timers run before bytes that arrived while the event loop was busy are read; a connection with such bytes would look idle. */
function readArrived(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function sleep(time: Milliseconds): Promise<void> {
  return pause(time, new AbortController().signal);
}
