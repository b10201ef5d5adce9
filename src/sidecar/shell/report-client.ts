import type { Logger } from 'pino';

import {
  pause,
  type Clock,
  type ManagedPart,
  type Milliseconds,
  type RandomSource,
} from '../../common/index.js';
import { encodeReport } from '../../control/index.js';
import type { HostReport } from '../../control/index.js';
import {
  ControlService,
  type HostReport as HostReportMessage,
} from '../../generated/pistachiospoke/v1/control_pb.js';
import type { HostFacts } from '../../model/index.js';
import { ReconnectBackoff } from '../../watch/index.js';
import { MessageQueue, StreamIdleTimeout, type RpcClientPool } from '../../wire/index.js';

/** Reports to one control host at a time: facts when they change, otherwise small periodic heartbeats. */

const heartbeatInterval: Milliseconds = 1000;
/**
 * Each report is answered. After three unanswered heartbeats the stream is replaced; otherwise the host would count as lost for as long
 * as the broken stream stays open.
 */
const acknowledgementTimeout: Milliseconds = 3500;
/** A stream that lasted this long shows that its control host works, so the reconnect delay is reset. */
const stableStreamAge: Milliseconds = 5000;

/** Content of a report, without its sequence numbers. */
export type ReportContent = Omit<HostReport, 'facts' | 'sequence' | 'factsSequence'> & {
  readonly facts: HostFacts;
};

/** Options of the report client. */
export interface ReportClientOptions {
  readonly control: readonly string[];
  readonly clients: RpcClientPool;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Builds the current report; `facts` is always set. */
  readonly buildReport: () => ReportContent;
}

export class ReportClient implements ManagedPart {
  readonly name = 'report client';
  readonly #options: ReportClientOptions;
  readonly #closing = new AbortController();
  readonly #pacing: ReconnectBackoff;
  #nextControlIndex: number;
  #queue: MessageQueue<HostReportMessage> | undefined;
  #lastSentFacts = '';
  #lastSentRest = '';
  #sequence = 0;
  #factsSequence = 0;
  #heartbeatTimer: NodeJS.Timeout | undefined;
  readonly #silence: StreamIdleTimeout;
  #running: Promise<void> | undefined;

  constructor(options: ReportClientOptions) {
    this.#options = options;
    this.#nextControlIndex = options.random.integerBelow(options.control.length);
    this.#pacing = new ReconnectBackoff(options.random);
    this.#silence = new StreamIdleTimeout(options.clients, acknowledgementTimeout);
  }

  open(): void {
    this.#heartbeatTimer = setInterval(() => {
      this.#send(true);
    }, heartbeatInterval);
    this.#running = this.#run();
  }

  /** Sends the queued reports, including the final one that announces leaving, then ends the stream. */
  async close(): Promise<void> {
    clearInterval(this.#heartbeatTimer);
    this.#closing.abort();
    this.#queue?.close();
    await this.#running;
  }

  /** Sends a report at once if its content has changed. */
  notify(): void {
    this.#send(false);
  }

  async #run(): Promise<void> {
    while (!this.#isClosing()) {
      const { control, clock, logger } = this.#options;
      const address = control[this.#nextControlIndex % control.length] ?? '';
      this.#nextControlIndex += 1;
      const queue = new MessageQueue<HostReportMessage>();
      this.#queue = queue;
      this.#lastSentFacts = '';
      const openedAt = clock.monotonic();
      this.#send(true);
      try {
        await this.#runStream(address, queue);
      } catch (error) {
        logger.info({ address, error: String(error) }, 'report stream ended');
      }
      this.#silence.clear();
      if (!this.#isClosing()) {
        if (clock.monotonic() - openedAt > stableStreamAge) {
          this.#pacing.reset();
        }
        await pause(this.#pacing.next(), this.#closing.signal);
      }
    }
  }

  async #runStream(address: string, queue: MessageQueue<HostReportMessage>): Promise<void> {
    const stream = new AbortController();
    this.#silence.restart(address, stream);
    const client = this.#options.clients.client(ControlService, address);
    const answers = client.report(queue, { signal: stream.signal })[Symbol.asyncIterator]();
    while ((await answers.next()).done !== true) {
      this.#silence.restart(address, stream);
    }
  }

  #isClosing(): boolean {
    return this.#closing.signal.aborted;
  }

  /** Heartbeats are always sent; facts only if they differ from those last sent on this stream. */
  #send(isHeartbeat: boolean): void {
    const { facts, ...rest } = this.#options.buildReport();
    const factsText = JSON.stringify(facts);
    const restText = JSON.stringify(rest);
    const isChanged = factsText !== this.#lastSentFacts;
    if (!isHeartbeat && !isChanged && restText === this.#lastSentRest) {
      return;
    }
    this.#sequence += 1;
    if (isChanged) {
      this.#factsSequence = this.#sequence;
    }
    const order = { sequence: this.#sequence, factsSequence: this.#factsSequence };
    this.#queue?.push(encodeReport({ ...rest, ...order, facts: isChanged ? facts : undefined }));
    this.#lastSentFacts = factsText;
    this.#lastSentRest = restText;
  }
}
