import type { Logger } from 'pino';

import { configurationSchema } from '../configuration/index.js';
import {
  assertNever,
  pause,
  type ManagedPart,
  type Milliseconds,
  type RandomSource,
} from '../common/index.js';
import { ControlService, type WatchResponse } from '../generated/pistachiospoke/v1/control_pb.js';
import type { Revision, WatchedState, WatchedStateSource } from '../model/index.js';
import { decodeGroup, StreamIdleTimeout, type RpcClientPool } from '../wire/index.js';
import { ReconnectBackoff } from './reconnect-backoff.js';
import { WatchedStateTracker, type WatchEvent } from './watched-state-tracker.js';

/** Watch client of gateways and sidecars: streams from one control host and switches to another when that fails. */

/** Control hosts send at least one heartbeat a second; a stream without messages for this long counts as lost. */
const streamIdleLimit: Milliseconds = 3500;

/** Options of a control watcher. */
export interface ControlWatcherOptions {
  /** Name shown by `get --in-force`. */
  readonly watcher: string;
  readonly kind: 'gateway' | 'sidecar';
  /** `ip:port` where the watcher serves other processes of the system; empty when it serves none. */
  readonly address: string;
  /** Addresses of the control hosts. */
  readonly control: readonly string[];
  readonly clients: RpcClientPool;
  readonly logger: Logger;
  readonly random: RandomSource;
}

/** Keeps a watch open while the process runs. */
export class ControlWatcher implements ManagedPart, WatchedStateSource {
  readonly name = 'control watcher';
  readonly #options: ControlWatcherOptions;
  readonly #tracker = new WatchedStateTracker();
  readonly #listeners = new Set<(state: WatchedState) => void>();
  readonly #backoff: ReconnectBackoff;
  #addressIndex: number;
  /** Control host and revision of the last acknowledgement, as `host/revision`. */
  #acknowledged = '';
  #stream: AbortController | undefined;
  readonly #idleTimeout: StreamIdleTimeout;
  readonly #closing = new AbortController();
  #running: Promise<void> | undefined;

  constructor(options: ControlWatcherOptions) {
    this.#options = options;
    this.#addressIndex = options.random.integerBelow(options.control.length);
    this.#backoff = new ReconnectBackoff(options.random);
    this.#idleTimeout = new StreamIdleTimeout(options.clients, streamIdleLimit);
  }

  /** An arrow function, because callers pass it around without its object. */
  readonly read = (): WatchedState => this.#tracker.read();

  readonly subscribe = (listener: (state: WatchedState) => void): (() => void) => {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  };

  /** Ends the stream when a newer revision exists that it has not delivered: its control host may be partitioned. */
  readonly noticeRevision = (revision: Revision): void => {
    if (revision > this.#tracker.read().revision) {
      this.#stream?.abort();
    }
  };

  open(): void {
    this.#running = this.#run();
  }

  async close(): Promise<void> {
    this.#closing.abort();
    this.#stream?.abort();
    await this.#running;
  }

  async #run(): Promise<void> {
    while (!this.#isClosing()) {
      const address = this.#nextAddress();
      const stream = new AbortController();
      this.#stream = stream;
      try {
        await this.#watch(address, stream);
      } catch (error) {
        if (!this.#isClosing()) {
          this.#options.logger.info({ address, error: String(error) }, 'watch ended');
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

  #nextAddress(): string {
    const { control } = this.#options;
    const address = control[this.#addressIndex % control.length];
    this.#addressIndex += 1;
    if (address === undefined) {
      throw new Error('no control host is configured');
    }
    return address;
  }

  async #watch(address: string, stream: AbortController): Promise<void> {
    const { clients, watcher, kind } = this.#options;
    // A restarted control host has lost earlier acknowledgements.
    this.#acknowledged = '';
    this.#idleTimeout.restart(address, stream);
    const responses = clients
      .client(ControlService, address)
      .watch(
        { watcher, kind, configurationRevision: BigInt(this.#tracker.read().revision) },
        { signal: stream.signal },
      );
    this.#tracker.handle({ type: 'connected' });
    for await (const response of responses) {
      this.#idleTimeout.restart(address, stream);
      if (!this.#applyResponse(response)) {
        this.#options.logger.info({ address }, 'control host is behind; switching to another');
        stream.abort();
        return;
      }
      this.#acknowledge(address);
    }
  }

  /** A failed acknowledgement is repeated after the next message; until then `get --in-force` shows the older revision. */
  #acknowledge(control: string): void {
    const { clients, watcher, kind, address, logger } = this.#options;
    const { revision } = this.#tracker.read();
    if (kind !== 'gateway' || this.#acknowledged === `${control}/${revision}`) {
      return;
    }
    const acknowledged = `${control}/${revision}`;
    this.#acknowledged = acknowledged;
    const state = { watcher, kind, address, configurationRevision: BigInt(revision) };
    clients
      .client(ControlService, control)
      .acknowledge({ watcher: state }, { timeoutMs: streamIdleLimit })
      .catch((error: unknown) => {
        if (this.#acknowledged === acknowledged) {
          this.#acknowledged = '';
        }
        logger.debug({ control, error: String(error) }, 'revision not acknowledged');
      });
  }

  #applyResponse(response: WatchResponse): boolean {
    const event = decodeWatchEvent(response);
    if (event === undefined) {
      return true;
    }
    if (event.type === 'heartbeat' && event.isFresh) {
      this.#backoff.reset();
    }
    const verdict = this.#tracker.handle(event);
    switch (verdict) {
      case 'unchanged':
        return true;
      case 'leave':
        return false;
      case 'changed':
        this.#notify();
        return true;
      default:
        return assertNever(verdict);
    }
  }

  #notify(): void {
    const state = this.#tracker.read();
    for (const listener of this.#listeners) {
      listener(state);
    }
  }
}

/** Returns undefined for event types of later versions. */
function decodeWatchEvent(response: WatchResponse): WatchEvent | undefined {
  const { event } = response;
  const index = Number(response.index);
  switch (event.case) {
    case 'configuration':
      return {
        type: 'configuration',
        revision: Number(event.value.revision),
        configuration: configurationSchema.parse(JSON.parse(event.value.document)),
      };
    case 'group':
      return { type: 'group', index, group: decodeGroup(event.value) };
    case 'groupRemoved':
      return { type: 'groupRemoved', index, name: event.value.name };
    case 'synchronized':
      return { type: 'synchronized', index };
    case 'heartbeat':
      return { type: 'heartbeat', index, isFresh: event.value.fresh };
    case undefined:
      return undefined;
    default:
      return assertNever(event);
  }
}
