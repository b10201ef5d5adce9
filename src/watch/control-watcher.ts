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
import { decodeGroup, StreamSilence, type RpcClientPool } from '../wire/index.js';
import { ReconnectPacing } from './reconnect-pacing.js';
import { WatchedStateKeeper, type WatchEvent } from './watched-state-keeper.js';

/** The watch client of gateways and sidecars: one stream from one control host, another when it fails. */

/** Control sends at least a heartbeat a second; this much silence means the connection is lost. */
const silenceLimit: Milliseconds = 3500;

/** Options of a watcher. */
export interface ControlWatcherOptions {
  /** Name shown by `get --in-force`. */
  readonly watcher: string;
  readonly kind: 'gateway' | 'sidecar';
  /** `ip:port` where the watcher serves processes of the system; empty when it serves none. */
  readonly address: string;
  /** Addresses of the control hosts. */
  readonly control: readonly string[];
  readonly clients: RpcClientPool;
  readonly logger: Logger;
  readonly random: RandomSource;
}

/** Keeps a watch open for as long as the process runs. */
export class ControlWatcher implements ManagedPart, WatchedStateSource {
  readonly name = 'control watcher';
  readonly #options: ControlWatcherOptions;
  readonly #keeper = new WatchedStateKeeper();
  readonly #listeners = new Set<(state: WatchedState) => void>();
  readonly #pacing: ReconnectPacing;
  #turn: number;
  /** Control host and revision last acknowledged. */
  #acknowledged = '';
  #stream: AbortController | undefined;
  readonly #silence: StreamSilence;
  readonly #closing = new AbortController();
  #running: Promise<void> | undefined;

  constructor(options: ControlWatcherOptions) {
    this.#options = options;
    this.#turn = options.random.integerBelow(options.control.length);
    this.#pacing = new ReconnectPacing(options.random);
    this.#silence = new StreamSilence(options.clients, silenceLimit);
  }

  /** Bound, because parts take it as a function of its own. */
  readonly read = (): WatchedState => this.#keeper.read();

  readonly subscribe = (listener: (state: WatchedState) => void): (() => void) => {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  };

  /** A newer revision exists and this watch has not brought it: the control host behind it may be cut off. */
  readonly noticeRevision = (revision: Revision): void => {
    if (revision > this.#keeper.read().revision) {
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
      this.#silence.end();
      if (!this.#isClosing()) {
        await pause(this.#pacing.next(), this.#closing.signal);
      }
    }
  }

  #isClosing(): boolean {
    return this.#closing.signal.aborted;
  }

  #nextAddress(): string {
    const { control } = this.#options;
    const address = control[this.#turn % control.length];
    this.#turn += 1;
    if (address === undefined) {
      throw new Error('the settings name no control host');
    }
    return address;
  }

  async #watch(address: string, stream: AbortController): Promise<void> {
    const { clients, watcher, kind } = this.#options;
    // A control host that was started again knows nothing of what was acknowledged to it before.
    this.#acknowledged = '';
    this.#silence.expect(address, stream);
    const responses = clients
      .client(ControlService, address)
      .watch(
        { watcher, kind, configurationRevision: BigInt(this.#keeper.read().revision) },
        { signal: stream.signal },
      );
    this.#keeper.handle({ type: 'connected' });
    for await (const response of responses) {
      this.#silence.expect(address, stream);
      if (!this.#take(response)) {
        this.#options.logger.info({ address }, 'control host is behind; taking another');
        stream.abort();
        return;
      }
      this.#acknowledge(address);
    }
  }

  /** Sent again with the next message if it is lost; until then `get --in-force` shows the older revision. */
  #acknowledge(control: string): void {
    const { clients, watcher, kind, address, logger } = this.#options;
    const { revision } = this.#keeper.read();
    if (kind !== 'gateway' || this.#acknowledged === `${control}/${revision}`) {
      return;
    }
    const acknowledged = `${control}/${revision}`;
    this.#acknowledged = acknowledged;
    const state = { watcher, kind, address, configurationRevision: BigInt(revision) };
    clients
      .client(ControlService, control)
      .acknowledge({ watcher: state }, { timeoutMs: silenceLimit })
      .catch((error: unknown) => {
        if (this.#acknowledged === acknowledged) {
          this.#acknowledged = '';
        }
        logger.debug({ control, error: String(error) }, 'revision not acknowledged');
      });
  }

  #take(response: WatchResponse): boolean {
    const event = decodeWatchEvent(response);
    if (event === undefined) {
      return true;
    }
    if (event.type === 'heartbeat' && event.isFresh) {
      this.#pacing.reset();
    }
    const verdict = this.#keeper.handle(event);
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
    const state = this.#keeper.read();
    for (const listener of this.#listeners) {
      listener(state);
    }
  }
}

/** Undefined for an event of a later version. */
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
