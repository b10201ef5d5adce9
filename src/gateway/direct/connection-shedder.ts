import type { Server } from 'node:http';

import type { Logger } from 'pino';

import type { Clock, ManagedPart, Milliseconds } from '../../common/index.js';

/**
 * Closes new connections unread while this process has no processor time left. Load balancers may send one gateway most new connections for
 * a while; a caller whose connection is closed before its request was read can safely try another gateway, whereas one that is accepted
 * makes all requests here late.
 */

const checkInterval: Milliseconds = 50;
/** A check that runs this much late shows that the event loop is busy. */
const busyDelay: Milliseconds = 100;
/** A check that runs less late than this shows that the event loop is idle again. */
const idleDelay: Milliseconds = 30;
/** Busy checks in a row before connections are closed: a single one may be a garbage collection, or the end of a freeze. */
const requiredChecks = 3;
/** With this limit Node closes new connections as long as another one is open. */
const sheddingLimit = 1;

export interface ConnectionShedderOptions {
  readonly server: Server;
  /** Called for each connection that was closed. */
  readonly onShed: () => void;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class ConnectionShedder implements ManagedPart {
  readonly name = 'connection shedder';
  readonly #options: ConnectionShedderOptions;
  readonly #unlimited: number;
  #timer: NodeJS.Timeout | undefined;
  #lastCheck: Milliseconds = 0;
  #busyChecks = 0;
  #shedCount = 0;
  #isShedding = false;

  constructor(options: ConnectionShedderOptions) {
    this.#options = options;
    this.#unlimited = options.server.maxConnections;
    options.server.on('drop', () => {
      this.#shedCount += 1;
      options.onShed();
    });
  }

  open(): void {
    this.#lastCheck = this.#options.clock.monotonic();
    this.#timer = setInterval(() => {
      const now = this.#options.clock.monotonic();
      this.noteDelay(now - this.#lastCheck - checkInterval);
      this.#lastCheck = now;
    }, checkInterval);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  /** Takes how late a check ran. */
  noteDelay(delay: Milliseconds): void {
    this.#busyChecks = delay >= busyDelay ? this.#busyChecks + 1 : 0;
    if (!this.#isShedding && this.#busyChecks >= requiredChecks) {
      this.#startShedding(delay);
    } else if (this.#isShedding && delay < idleDelay) {
      this.#stopShedding();
    }
  }

  #startShedding(delay: Milliseconds): void {
    this.#isShedding = true;
    this.#shedCount = 0;
    this.#options.server.maxConnections = sheddingLimit;
    this.#options.logger.warn(
      { delay: Math.round(delay) },
      'event loop is busy; closing new connections',
    );
  }

  #stopShedding(): void {
    this.#isShedding = false;
    this.#options.server.maxConnections = this.#unlimited;
    this.#options.logger.info({ closed: this.#shedCount }, 'accepting new connections again');
  }
}
