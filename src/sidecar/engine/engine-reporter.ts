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
import { ReconnectPacing } from '../../watch/index.js';
import { MessageQueue, StreamSilence, type RpcClientPool } from '../../wire/index.js';

/** Reports on the engine to the leader of control: what changed at once, otherwise a small heartbeat. */

const heartbeatInterval: Milliseconds = 1000;
/** Load changes with every question; the leader has no use for it more often than it gets a heartbeat. */
const loadInterval: Milliseconds = 1000;
/** While a group drains, the leader waits for its head to be idle. */
const drainingLoadInterval: Milliseconds = 50;
/** A leader answers each report; without an answer for two heartbeats the connection is lost. */
const silenceLimit: Milliseconds = 2500;
const longestReconnectDelay: Milliseconds = 500;
/** While no leader is known there is nobody to report to. */
const leaderlessDelay: Milliseconds = 50;

/** Options of the reporter. */
export interface EngineReporterOptions {
  readonly host: string;
  readonly incarnation: string;
  /** `ip:port` of the leader; empty while none is known. */
  readonly findLeader: () => string;
  readonly describe: () => EngineFacts;
  /** Whether the leader waits for this engine to be idle. */
  readonly isDraining: () => boolean;
  /** Told which model the leader wants staged. */
  readonly onStaging: (model: string | undefined) => void;
  readonly clients: RpcClientPool;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
}

export class EngineReporter implements ManagedPart {
  readonly name = 'engine reporter';
  readonly #options: EngineReporterOptions;
  readonly #pacing: ReconnectPacing;
  readonly #closing = new AbortController();
  #queue: MessageQueue<EngineReport> | undefined;
  #stream: AbortController | undefined;
  #leader = '';
  #sequence = 0;
  /** What was last sent on this stream, without the load and with it. */
  #sentState = '';
  #sentFacts = '';
  #sentAt: Milliseconds = 0;
  #timer: NodeJS.Timeout | undefined;
  readonly #silence: StreamSilence;
  #running: Promise<void> | undefined;

  constructor(options: EngineReporterOptions) {
    this.#options = options;
    this.#pacing = new ReconnectPacing(options.random, longestReconnectDelay);
    this.#silence = new StreamSilence(options.clients, silenceLimit);
  }

  open(): void {
    this.#timer = setInterval(() => {
      this.#send(this.#options.describe());
    }, heartbeatInterval);
    this.#running = this.#run();
  }

  async close(): Promise<void> {
    clearInterval(this.#timer);
    this.#closing.abort();
    this.#queue?.close();
    this.#stream?.abort();
    await this.#running;
  }

  /** Sends at once what changed; a change of the load alone waits a little. */
  notify(): void {
    const facts = this.#options.describe();
    const interval = this.#options.isDraining() ? drainingLoadInterval : loadInterval;
    const isDue = this.#options.clock.monotonic() - this.#sentAt >= interval;
    const isLoadNew = isDue && JSON.stringify(facts) !== this.#sentFacts;
    if (describeState(facts) !== this.#sentState || isLoadNew) {
      this.#send(facts);
    }
  }

  /** Another leader: the stream to the one before is of no use. */
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
        await pause(leaderlessDelay, this.#closing.signal);
        continue;
      }
      try {
        await this.#report(this.#leader);
      } catch (error) {
        if (!this.#isClosing()) {
          logger.info({ leader: this.#leader, error: String(error) }, 'report stream ended');
        }
      }
      this.#silence.end();
      this.#queue = undefined;
      if (!this.#isClosing()) {
        await pause(this.#pacing.next(), this.#closing.signal);
      }
    }
  }

  async #report(leader: string): Promise<void> {
    const stream = new AbortController();
    const queue = new MessageQueue<EngineReport>();
    this.#stream = stream;
    this.#queue = queue;
    this.#sentFacts = '';
    this.#send(this.#options.describe());
    this.#silence.expect(leader, stream);
    const answers = this.#options.clients
      .client(RoutingService, leader)
      .reportEngine(queue, { signal: stream.signal });
    for await (const { stagingModel } of answers) {
      this.#silence.expect(leader, stream);
      this.#pacing.reset();
      this.#options.onStaging(stagingModel === '' ? undefined : stagingModel);
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
        facts: text === this.#sentFacts ? '' : text,
      }),
    );
    this.#sentFacts = text;
    this.#sentState = describeState(facts);
    this.#sentAt = clock.monotonic();
  }
}

/** All but the load. */
function describeState(facts: EngineFacts): string {
  const { reading } = facts;
  return JSON.stringify({ ...facts, reading: { ...reading, running: 0, waiting: 0 } });
}
