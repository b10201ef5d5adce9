import type { Logger } from 'pino';

import {
  pause,
  type Clock,
  type ManagedPart,
  type Milliseconds,
  type RandomSource,
} from '../common/index.js';
import { RoutingService } from '../generated/pistachiospoke/v1/routing_pb.js';
import { StreamIdleTimeout, type RpcClientPool } from '../wire/index.js';
import { decodeRoutingEvents } from './decode-routing-event.js';
import { ReconnectBackoff } from './reconnect-backoff.js';
import {
  RoutingStateTracker,
  type RoutingEvent,
  type RoutingView,
} from './routing-state-tracker.js';

/** Routing watch client of gateways and sidecars: streams from one control host and switches to another when that fails. */

/** Control hosts send a status message twice a second; a stream without messages for this long counts as lost. */
const streamIdleLimit: Milliseconds = 1600;
/** Upper bound of the delay before the next control host is tried: a change has to take effect within about two seconds. */
const maximumReconnectDelay: Milliseconds = 500;

/** Options of a routing watcher. */
export interface RoutingWatcherOptions {
  /** Name shown in the logs of control hosts. */
  readonly watcher: string;
  readonly kind: 'gateway' | 'sidecar';
  /** Addresses of the control hosts from the settings; status messages add others later. */
  readonly control: readonly string[];
  readonly clients: RpcClientPool;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
}

/** Keeps a routing watch open while the process runs. */
export class RoutingWatcher implements ManagedPart {
  readonly name = 'routing watcher';
  readonly #options: RoutingWatcherOptions;
  readonly #tracker = new RoutingStateTracker();
  readonly #listeners = new Set<(view: RoutingView) => void>();
  readonly #backoff: ReconnectBackoff;
  readonly #closing = new AbortController();
  #controlAddresses: readonly string[];
  #addressIndex: number;
  #stream: AbortController | undefined;
  readonly #idleTimeout: StreamIdleTimeout;
  #running: Promise<void> | undefined;

  constructor(options: RoutingWatcherOptions) {
    this.#options = options;
    this.#controlAddresses = options.control;
    this.#addressIndex = options.random.integerBelow(options.control.length);
    this.#backoff = new ReconnectBackoff(options.random, maximumReconnectDelay);
    this.#idleTimeout = new StreamIdleTimeout(options.clients, streamIdleLimit);
  }

  /** An arrow function, because callers pass it around without its object. */
  readonly read = (): RoutingView => this.#tracker.read();

  /** Calls the listener after each change; returns a function that ends the subscription. */
  readonly subscribe = (listener: (view: RoutingView) => void): (() => void) => {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  };

  /** Replaces the configured addresses of control hosts; a working watch is kept open. */
  setControl(control: readonly string[]): void {
    this.#controlAddresses = control;
  }

  open(): void {
    this.#running = this.#run();
  }

  async close(): Promise<void> {
    this.#closing.abort();
    this.#stream?.abort();
    await this.#running;
  }

  async #run(): Promise<void> {
    const { logger } = this.#options;
    while (!this.#closing.signal.aborted) {
      const address = this.#nextAddress();
      const stream = new AbortController();
      this.#stream = stream;
      try {
        await this.#watch(address, stream);
        logger.info({ address }, 'routing watch ended');
      } catch (error) {
        if (!this.#isClosing()) {
          logger.warn({ address, error: String(error) }, 'routing watch failed');
        }
      }
      this.#idleTimeout.clear();
      if (!this.#isClosing()) {
        await pause(this.#backoff.next(), this.#closing.signal);
      }
    }
  }

  #isClosing(): boolean {
    return this.#closing.signal.aborted;
  }

  /** Rotates through the configured addresses and those of the last status message. */
  #nextAddress(): string {
    const known = [...new Set([...this.#controlAddresses, ...this.#tracker.read().voters])];
    const address = known[this.#addressIndex % known.length];
    this.#addressIndex += 1;
    if (address === undefined) {
      throw new Error('no control host is configured');
    }
    return address;
  }

  async #watch(address: string, stream: AbortController): Promise<void> {
    const { clients, watcher, kind, logger } = this.#options;
    this.#idleTimeout.restart(address, stream);
    const version = BigInt(this.#findConfirmedVersion());
    const responses = clients
      .client(RoutingService, address)
      .watch({ watcher, kind, version }, { signal: stream.signal });
    this.#tracker.handle({ type: 'connected' });
    for await (const response of responses) {
      this.#idleTimeout.restart(address, stream);
      const events = decodeRoutingEvents(response, this.#options.clock.monotonic());
      if (!this.#applyEvents(events, address)) {
        logger.warn({ address }, 'control host is behind; switching to another');
        stream.abort();
        return;
      }
    }
  }

  /**
   * Version of the document in a state that a control host has confirmed; 0 while there is none. A control host that is told another
   * version confirms its own state without asking the leader, though this host may have got the same old state from it before.
   */
  #findConfirmedVersion(): number {
    const { confirmedAt, table } = this.#tracker.read();
    return confirmedAt === undefined ? 0 : (table?.document.version ?? 0);
  }

  /** Applies the events of one message; returns false when the watcher must switch to another control host. */
  #applyEvents(events: readonly RoutingEvent[], address: string): boolean {
    let isChanged = false;
    for (const event of events) {
      const verdict = this.#tracker.handle(event);
      if (verdict === 'leave') {
        return false;
      }
      if (verdict === 'changed') {
        isChanged = true;
        this.#logChange(event, address);
      }
    }
    if (isChanged) {
      this.#notify();
    }
    return true;
  }

  #logChange(event: RoutingEvent, address: string): void {
    const { logger } = this.#options;
    switch (event.type) {
      case 'synchronized':
        this.#backoff.reset();
        logger.info(
          { address, version: event.version, index: event.index },
          'routing state synchronized',
        );
        return;
      case 'document':
        logger.info({ address, version: event.document.version }, 'routing document applied');
        return;
      case 'sign':
        logger.info({ address, leader: event.leader }, 'leader of control changed');
        return;
      case 'connected':
      case 'instance':
      case 'instanceRemoved':
      case 'engineGroup':
      case 'engineGroupRemoved':
      case 'evacuation':
      case 'evacuationEnded':
        return;
      case 'requestQuarantined':
        logger.warn({ address, subject: event.request }, 'subject quarantined');
        return;
      case 'requestReleased':
        logger.info({ address, subject: event.request }, 'subject released from quarantine');
        return;
    }
  }

  #notify(): void {
    const view = this.#tracker.read();
    for (const listener of this.#listeners) {
      listener(view);
    }
  }
}
