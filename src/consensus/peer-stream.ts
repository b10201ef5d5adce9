import { setTimeout as sleep } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';

import type { Clock, Milliseconds, RandomSource } from '../common/index.js';
import {
  ConsensusEnvelopeSchema,
  ConsensusService,
  type ConsensusEnvelope,
} from '../generated/pistachiospoke/v1/control_pb.js';
import { MessageQueue } from '../wire/index.js';
import { formatMessage, type ConsensusMessage, type NodeName } from './core/index.js';
import { PeerSession } from './peer-session.js';

/** Messages queued for a peer that reads slowly. When the queue overflows the stream ends, and the core resends. */
const queueCapacity = 2000;
const shortestBackOff: Milliseconds = 50;
const longestBackOff: Milliseconds = 1000;
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
  #session: PeerSession | undefined;
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
    this.#session?.end();
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
    const session = new PeerSession({ address, timeout: connectionTimeout });
    const queue = new MessageQueue<ConsensusEnvelope>(queueCapacity);
    this.#session = session;
    try {
      await session.connect();
      const transport = createConnectTransport({
        baseUrl: session.authority,
        httpVersion: '2',
        sessionManager: session,
      });
      this.#queue = queue;
      await createClient(ConsensusService, transport).exchange(queue, { signal: session.ended });
    } catch {
      // Whatever ended the stream, the next one starts after the back-off.
    } finally {
      this.#queue = undefined;
      queue.close();
      session.end();
    }
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
