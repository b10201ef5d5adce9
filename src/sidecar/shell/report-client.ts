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
import { ReconnectPacing } from '../../watch/index.js';
import { MessageQueue, StreamSilence, type RpcClientPool } from '../../wire/index.js';

/** Reports to one control host: facts when they change, otherwise a small heartbeat. */

const heartbeatInterval: Milliseconds = 1000;
/** Each report is answered; three heartbeats without an answer, and the host would count as lost for as long as the stream lives. */
const silenceLimit: Milliseconds = 3500;
/** A stream that lived this long was useful: the control host behind it works. */
const usefulAfter: Milliseconds = 5000;

/** What a report says, without its place in the order of reports. */
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
  /** The whole report of this moment; `facts` is always set. */
  readonly describe: () => ReportContent;
}

export class ReportClient implements ManagedPart {
  readonly name = 'report client';
  readonly #options: ReportClientOptions;
  readonly #closing = new AbortController();
  readonly #pacing: ReconnectPacing;
  #turn: number;
  #queue: MessageQueue<HostReportMessage> | undefined;
  #sentFacts = '';
  #sentRest = '';
  #sequence = 0;
  #factsSequence = 0;
  #timer: NodeJS.Timeout | undefined;
  readonly #silence: StreamSilence;
  #running: Promise<void> | undefined;

  constructor(options: ReportClientOptions) {
    this.#options = options;
    this.#turn = options.random.integerBelow(options.control.length);
    this.#pacing = new ReconnectPacing(options.random);
    this.#silence = new StreamSilence(options.clients, silenceLimit);
  }

  open(): void {
    this.#timer = setInterval(() => {
      this.#send(true);
    }, heartbeatInterval);
    this.#running = this.#run();
  }

  /** Ends the last stream after what is queued, a good-bye included. */
  async close(): Promise<void> {
    clearInterval(this.#timer);
    this.#closing.abort();
    this.#queue?.close();
    await this.#running;
  }

  /** Sends at once when something to report changed. */
  notify(): void {
    this.#send(false);
  }

  async #run(): Promise<void> {
    while (!this.#isClosing()) {
      const { control, clock, logger } = this.#options;
      const address = control[this.#turn % control.length] ?? '';
      this.#turn += 1;
      const queue = new MessageQueue<HostReportMessage>();
      this.#queue = queue;
      this.#sentFacts = '';
      const openedAt = clock.monotonic();
      this.#send(true);
      try {
        await this.#report(address, queue);
      } catch (error) {
        logger.info({ address, error: String(error) }, 'report stream ended');
      }
      this.#silence.end();
      if (!this.#isClosing()) {
        if (clock.monotonic() - openedAt > usefulAfter) {
          this.#pacing.reset();
        }
        await pause(this.#pacing.next(), this.#closing.signal);
      }
    }
  }

  async #report(address: string, queue: MessageQueue<HostReportMessage>): Promise<void> {
    const stream = new AbortController();
    this.#silence.expect(address, stream);
    const client = this.#options.clients.client(ControlService, address);
    const answers = client.report(queue, { signal: stream.signal })[Symbol.asyncIterator]();
    while ((await answers.next()).done !== true) {
      this.#silence.expect(address, stream);
    }
  }

  #isClosing(): boolean {
    return this.#closing.signal.aborted;
  }

  /** A heartbeat is sent in any case; facts only when they differ from those sent on this stream. */
  #send(isHeartbeat: boolean): void {
    const { facts, ...rest } = this.#options.describe();
    const factsText = JSON.stringify(facts);
    const restText = JSON.stringify(rest);
    const isChanged = factsText !== this.#sentFacts;
    if (!isHeartbeat && !isChanged && restText === this.#sentRest) {
      return;
    }
    this.#sequence += 1;
    if (isChanged) {
      this.#factsSequence = this.#sequence;
    }
    const order = { sequence: this.#sequence, factsSequence: this.#factsSequence };
    this.#queue?.push(encodeReport({ ...rest, ...order, facts: isChanged ? facts : undefined }));
    this.#sentFacts = factsText;
    this.#sentRest = restText;
  }
}
