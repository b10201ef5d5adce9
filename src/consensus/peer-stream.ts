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

/** Messages waiting for a peer that reads slowly; past it the stream ends and the core sends anew. */
const queueCapacity = 2000;
const shortestBackOff: Milliseconds = 50;
const longestBackOff: Milliseconds = 1000;
/** A stream that lasted this long was a good one; the next failure waits for the shortest time again. */
const goodStreamDuration: Milliseconds = 5000;

/** Options of a stream to one peer. */
export interface PeerStreamOptions {
  readonly self: NodeName;
  readonly peer: NodeName;
  /** `ip:port`. */
  readonly address: string;
  /**
   * Longest wait for a connection and for the answer to a ping. Something between two hosts can lose track of an open
   * connection; it is then silent without an error, while a new one works.
   */
  readonly silenceLimit: Milliseconds;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** The stream of messages to one peer; connects again, each time later, until it is closed. */
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
      const wasGood = clock.monotonic() - startedAt >= goodStreamDuration;
      failures = wasGood ? 0 : failures + 1;
      await this.#backOff(failures);
    }
  }

  async #exchange(): Promise<void> {
    const { address, silenceLimit } = this.#options;
    const baseUrl = `http://${address}`;
    const sessionManager = new Http2SessionManager(baseUrl, {
      pingIntervalMs: silenceLimit,
      pingTimeoutMs: silenceLimit,
      idleConnectionTimeoutMs: silenceLimit,
    });
    const queue = new MessageQueue<ConsensusEnvelope>(queueCapacity);
    try {
      if (!(await this.#connect(sessionManager))) {
        return;
      }
      const transport = createConnectTransport({ baseUrl, httpVersion: '2', sessionManager });
      this.#queue = queue;
      const { signal } = this.#closing;
      await createClient(ConsensusService, transport).exchange(queue, { signal });
    } catch {
      // Whatever ended the stream, the next one begins after the back-off.
    } finally {
      this.#queue = undefined;
      queue.close();
    }
  }

  /** An attempt to connect to a host that is cut off would last for minutes, and go on after the cut has healed. */
  async #connect(sessionManager: Http2SessionManager): Promise<boolean> {
    const { silenceLimit } = this.#options;
    const timer = new AbortController();
    const timeout = sleep(silenceLimit, 'error' as const, { signal: timer.signal });
    timeout.catch(() => undefined);
    const state = await Promise.race([sessionManager.connect(), timeout]);
    timer.abort();
    if (sessionManager.state() === 'connecting') {
      // An open session is never aborted here: one that a failed ping is just ending has lost the listener for its error
      // by then, and that error would end the process. Without streams it closes itself.
      sessionManager.abort();
    }
    return state !== 'error' && !this.#closing.signal.aborted;
  }

  async #backOff(failures: number): Promise<void> {
    const longest = Math.min(shortestBackOff * 2 ** failures, longestBackOff);
    const wait = longest * (0.5 + this.#options.random.fraction() / 2);
    try {
      await sleep(wait, undefined, { signal: this.#closing.signal });
    } catch {
      // Closed while waiting.
    }
  }
}
