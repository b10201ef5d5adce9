import { setTimeout as sleep } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';

import type { Clock, Milliseconds, RandomSource } from '../common/index.js';
import {
  ConsensusEnvelopeSchema,
  ConsensusService,
  type ConsensusEnvelope,
} from '../generated/pistachiospoke/v1/control_pb.js';
import { MessageQueue } from '../wire/index.js';
import { formatMessage, type ConsensusMessage, type NodeName } from './core/index.js';

/** Messages queued for a peer that reads slowly. When the queue overflows the stream ends, and the core resends. */
const queueCapacity = 2000;
const shortestBackOff: Milliseconds = 50;
const longestBackOff: Milliseconds = 1000;
/** Time to connect and to begin the stream, in timeouts of the connection. */
const openingTimeouts = 2;
/** A stream that lasted this long resets the back-off. */
const stableStreamDuration: Milliseconds = 5000;

/** Options of a stream to one peer. */
export interface PeerStreamOptions {
  readonly self: NodeName;
  readonly peer: NodeName;
  /** `ip:port`. */
  readonly address: string;
  /**
   * Timeout for connecting and for the answer to a ping. A device between two hosts can lose the state of an open
   * connection; it then goes silent without an error, while a new connection works.
   */
  readonly connectionTimeout: Milliseconds;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** The stream of messages to one peer; reconnects with exponential back-off until it is closed. */
export class PeerStream {
  readonly #options: PeerStreamOptions;
  readonly #closing = new AbortController();
  #queue: MessageQueue<ConsensusEnvelope> | undefined;
  #running: Promise<void> = Promise.resolve();

  constructor(options: PeerStreamOptions) {
    this.#options = options;
  }

  open(): void {
    this.#running = this.#run();
  }

  send(message: ConsensusMessage): void {
    const { self, peer } = this.#options;
    const envelope = { from: self, to: peer, message: formatMessage(message) };
    this.#queue?.push(create(ConsensusEnvelopeSchema, envelope));
  }

  async close(): Promise<void> {
    this.#closing.abort();
    this.#queue?.close();
    await this.#running;
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    let failures = 0;
    while (!this.#closing.signal.aborted) {
      const startedAt = clock.monotonic();
      await this.#exchange();
      const wasStable = clock.monotonic() - startedAt >= stableStreamDuration;
      failures = wasStable ? 0 : failures + 1;
      await this.#backOff(failures);
    }
  }

  async #exchange(): Promise<void> {
    const { address, connectionTimeout } = this.#options;
    const baseUrl = `http://${address}`;
    const sessionManager = new Http2SessionManager(baseUrl, {
      pingIntervalMs: connectionTimeout,
      pingTimeoutMs: connectionTimeout,
      idleConnectionTimeoutMs: connectionTimeout,
    });
    const queue = new MessageQueue<ConsensusEnvelope>(queueCapacity);
    const opening = new AbortController();
    // The session manager pings a connection again before its first call if the time of day says that it is not new. If the
    // connection is silent, that ping may neither succeed nor fail.
    const timer = setTimeout(() => {
      if (sessionManager.state() !== 'open') {
        opening.abort();
      }
    }, openingTimeouts * connectionTimeout);
    try {
      if (!(await this.#connect(sessionManager))) {
        return;
      }
      const transport = createConnectTransport({ baseUrl, httpVersion: '2', sessionManager });
      this.#queue = queue;
      const signal = AbortSignal.any([this.#closing.signal, opening.signal]);
      await createClient(ConsensusService, transport).exchange(queue, { signal });
    } catch {
      // Whatever ended the stream, the next one starts after the back-off.
    } finally {
      clearTimeout(timer);
      this.#queue = undefined;
      queue.close();
    }
  }

  /** Connects with a timeout: an attempt to reach a partitioned host would last for minutes, even past the partition's end. */
  async #connect(sessionManager: Http2SessionManager): Promise<boolean> {
    const { connectionTimeout } = this.#options;
    const timer = new AbortController();
    const timeout = sleep(connectionTimeout, 'error' as const, { signal: timer.signal });
    timeout.catch(() => undefined);
    const state = await Promise.race([sessionManager.connect(), timeout]);
    timer.abort();
    if (sessionManager.state() === 'connecting') {
      // An open session is never aborted here. If a failed ping is just closing it, its error listener is already removed,
      // and the error would crash the process. A session without streams closes by itself.
      sessionManager.abort();
    }
    return state !== 'error' && !this.#closing.signal.aborted;
  }

  async #backOff(failures: number): Promise<void> {
    const maximumWait = Math.min(shortestBackOff * 2 ** failures, longestBackOff);
    const wait = maximumWait * (0.5 + this.#options.random.fraction() / 2);
    try {
      await sleep(wait, undefined, { signal: this.#closing.signal });
    } catch {
      // Closed while waiting.
    }
  }
}
