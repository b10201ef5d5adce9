import { create } from '@bufbuild/protobuf';
import type { Logger } from 'pino';

import {
  pause,
  type Clock,
  type ManagedPart,
  type Milliseconds,
  type RandomSource,
} from '../../common/index.js';
import {
  EngineReportSchema,
  RoutingService,
  type EngineReport,
} from '../../generated/pistachiospoke/v1/routing_pb.js';
import type { EngineFacts } from '../../routing/index.js';
import { ReconnectBackoff } from '../../watch/index.js';
import { MessageQueue, StreamIdleTimeout, type RpcClientPool } from '../../wire/index.js';

/** Reports engine facts to the control leader: changes at once, otherwise small periodic heartbeats. */

const heartbeatInterval: Milliseconds = 1000;
/** Load changes with every request; the leader does not need it more often than once per heartbeat. */
const loadInterval: Milliseconds = 1000;
/** While a group drains, the leader waits for the head to become idle, so load is reported more often. */
const drainingLoadInterval: Milliseconds = 50;
/** The leader answers each report. Two heartbeats without an answer mean that the connection is lost. */
const acknowledgementTimeout: Milliseconds = 2500;
const maxReconnectDelay: Milliseconds = 500;
/** Delay before looking for a leader again while none is known. */
const leaderLookupDelay: Milliseconds = 50;

/** Options of the reporter. */
export interface EngineReporterOptions {
  readonly host: string;
  readonly incarnation: string;
  /** Returns the `ip:port` of the leader, or an empty string while none is known. */
  readonly findLeader: () => string;
  readonly readFacts: () => EngineFacts;
  /** Whether the leader is waiting for this engine to become idle. */
  readonly isDraining: () => boolean;
  /** Called with the model that the leader wants staged. */
  readonly onStagingModel: (model: string | undefined) => void;
  readonly clients: RpcClientPool;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
}

export class EngineReporter implements ManagedPart {
  readonly name = 'engine reporter';
  readonly #options: EngineReporterOptions;
  readonly #pacing: ReconnectBackoff;
  readonly #closing = new AbortController();
  #queue: MessageQueue<EngineReport> | undefined;
  #stream: AbortController | undefined;
  #leader = '';
  #sequence = 0;
  /** The facts last sent on this stream, without and with the load. */
  #lastSentState = '';
  #lastSentFacts = '';
  #lastSentAt: Milliseconds = 0;
  #heartbeatTimer: NodeJS.Timeout | undefined;
  readonly #silence: StreamIdleTimeout;
  #running: Promise<void> | undefined;

  constructor(options: EngineReporterOptions) {
    this.#options = options;
    this.#pacing = new ReconnectBackoff(options.random, maxReconnectDelay);
    this.#silence = new StreamIdleTimeout(options.clients, acknowledgementTimeout);
  }

  open(): void {
    this.#heartbeatTimer = setInterval(() => {
      this.#send(this.#options.readFacts());
    }, heartbeatInterval);
    this.#running = this.#run();
  }

  async close(): Promise<void> {
    clearInterval(this.#heartbeatTimer);
    this.#closing.abort();
    this.#queue?.close();
    this.#stream?.abort();
    await this.#running;
  }

  /** Sends changed facts at once; changes of load alone are rate limited. */
  notify(): void {
    const facts = this.#options.readFacts();
    const interval = this.#options.isDraining() ? drainingLoadInterval : loadInterval;
    const isDue = this.#options.clock.monotonic() - this.#lastSentAt >= interval;
    const isLoadNew = isDue && JSON.stringify(facts) !== this.#lastSentFacts;
    if (serializeWithoutLoad(facts) !== this.#lastSentState || isLoadNew) {
      this.#send(facts);
    }
  }

  /** Closes the stream to the previous leader after a change of leader. */
  followLeader(): void {
    if (this.#options.findLeader() !== this.#leader) {
      this.#queue?.close();
      this.#stream?.abort();
    }
  }

  async #run(): Promise<void> {
    const { findLeader, logger } = this.#options;
    while (!this.#isClosing()) {
      this.#leader = findLeader();
      if (this.#leader === '') {
        await pause(leaderLookupDelay, this.#closing.signal);
        continue;
      }
      try {
        await this.#runStream(this.#leader);
      } catch (error) {
        if (!this.#isClosing()) {
          logger.info({ leader: this.#leader, error: String(error) }, 'report stream ended');
        }
      }
      this.#silence.clear();
      this.#queue = undefined;
      if (!this.#isClosing()) {
        await pause(this.#pacing.next(), this.#closing.signal);
      }
    }
  }

  async #runStream(leader: string): Promise<void> {
    const stream = new AbortController();
    const queue = new MessageQueue<EngineReport>();
    this.#stream = stream;
    this.#queue = queue;
    this.#lastSentFacts = '';
    this.#send(this.#options.readFacts());
    this.#silence.restart(leader, stream);
    const answers = this.#options.clients
      .client(RoutingService, leader)
      .reportEngine(queue, { signal: stream.signal });
    for await (const { stagingModel } of answers) {
      this.#silence.restart(leader, stream);
      this.#pacing.reset();
      this.#options.onStagingModel(stagingModel === '' ? undefined : stagingModel);
    }
  }

  #isClosing(): boolean {
    return this.#closing.signal.aborted;
  }

  #send(facts: EngineFacts): void {
    if (this.#queue === undefined) {
      return;
    }
    const text = JSON.stringify(facts);
    const { host, incarnation, clock } = this.#options;
    this.#sequence += 1;
    this.#queue.push(
      create(EngineReportSchema, {
        host,
        incarnation,
        sequence: BigInt(this.#sequence),
        facts: text === this.#lastSentFacts ? '' : text,
      }),
    );
    this.#lastSentFacts = text;
    this.#lastSentState = serializeWithoutLoad(facts);
    this.#lastSentAt = clock.monotonic();
  }
}

/** Serializes the facts without the load. */
function serializeWithoutLoad(facts: EngineFacts): string {
  const { reading } = facts;
  return JSON.stringify({ ...facts, reading: { ...reading, running: 0, waiting: 0 } });
}
