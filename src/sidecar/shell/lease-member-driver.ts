import type { ConnectRouter } from '@connectrpc/connect';

import type { Clock, Milliseconds } from '../../common/index.js';
import {
  LeaseService,
  type LeaseAnswer as LeaseAnswerMessage,
  type LeaseQuestion as LeaseQuestionMessage,
} from '../../generated/pistachiospoke/v1/lease_pb.js';
import {
  LeaseAnswerWriter,
  LeaseMember,
  LeaseQuestionReader,
  type LeaseAnswer,
  type LeaseMemberEvent,
  type LeaseQuestion,
} from '../../lease/index.js';
import type { FencingNumber, GroupName, HostName, Incarnation } from '../../model/index.js';
import { MessageQueue } from '../../wire/index.js';

/** Transport of this host's `LeaseMember`: receives lease questions from other sidecars and sends back its answers. */

/** Receives the answers to one lead. */
type AnswerSink = (answer: LeaseAnswer) => void;

/** Options of the lease member driver. */
export interface LeaseMemberDriverOptions {
  readonly host: HostName;
  readonly incarnation: Incarnation;
  readonly longestLease: Milliseconds;
  readonly clock: Clock;
}

export class LeaseMemberDriver {
  readonly #clock: Clock;
  readonly #member: LeaseMember;
  /** Keyed by lead and fencing number, because a lead has one stream per placement. */
  readonly #sinks = new Map<string, AnswerSink>();
  #isHealthy = false;
  readonly #readiness = new Map<FencingNumber, boolean>();

  constructor(options: LeaseMemberDriverOptions) {
    this.#clock = options.clock;
    this.#member = new LeaseMember(options);
  }

  /** Starts the waiting period during which a restarted member grants no lease. */
  start(): void {
    this.#handle({ type: 'started', now: this.#clock.monotonic() });
  }

  register(router: ConnectRouter): void {
    router.service(LeaseService, { hold: (questions) => this.#hold(questions) });
  }

  /** Handles a question of a lead on this host. Answers may also follow later without a question. */
  askLocally(question: LeaseQuestion, sink: AnswerSink): void {
    this.#handleQuestion(question, sink);
  }

  setHealthy(isHealthy: boolean): void {
    if (isHealthy === this.#isHealthy) {
      return;
    }
    this.#isHealthy = isHealthy;
    this.#handle({ type: 'healthChanged', now: this.#clock.monotonic(), isHealthy });
  }

  /** Sets whether the upstream is ready to serve a placement. */
  setReady(group: GroupName, fencingNumber: FencingNumber, isReady: boolean): void {
    if (this.#readiness.get(fencingNumber) === isReady) {
      return;
    }
    this.#readiness.set(fencingNumber, isReady);
    const now = this.#clock.monotonic();
    this.#handle({ type: 'readinessChanged', now, group, fencingNumber, isReady });
  }

  /** Asks the leads of this host's groups to drain them. */
  requestDrain(): void {
    this.#handle({ type: 'drainRequested', now: this.#clock.monotonic() });
  }

  /** The placement whose lead may still hold a lease on this host; undefined if there is none. */
  findHolder(): FencingNumber | undefined {
    return this.#member.holder(this.#clock.monotonic())?.fencingNumber;
  }

  async *#hold(questions: AsyncIterable<LeaseQuestionMessage>): AsyncIterable<LeaseAnswerMessage> {
    const answers = new MessageQueue<LeaseAnswerMessage>();
    const writer = new LeaseAnswerWriter();
    const sink: AnswerSink = (answer) => {
      answers.push(writer.write(answer));
    };
    void this.#readQuestions(questions, sink, answers);
    yield* answers;
  }

  async #readQuestions(
    questions: AsyncIterable<LeaseQuestionMessage>,
    sink: AnswerSink,
    answers: MessageQueue<LeaseAnswerMessage>,
  ): Promise<void> {
    const reader = new LeaseQuestionReader();
    try {
      for await (const message of questions) {
        this.#handleQuestion(reader.read(message), sink);
      }
    } catch {
      // The lead's connection broke; the leases granted to it expire on their own.
    } finally {
      answers.close();
      this.#removeSink(sink);
    }
  }

  #handleQuestion(question: LeaseQuestion, sink: AnswerSink): void {
    this.#sinks.set(createSinkKey(question.lead, question.fencingNumber), sink);
    this.#handle({ type: 'asked', now: this.#clock.monotonic(), question });
  }

  #handle(event: LeaseMemberEvent): void {
    for (const { to, answer } of this.#member.handle(event)) {
      this.#sinks.get(createSinkKey(to, answer.fencingNumber))?.(answer);
    }
  }

  #removeSink(sink: AnswerSink): void {
    for (const [key, known] of this.#sinks) {
      if (known === sink) {
        this.#sinks.delete(key);
      }
    }
  }
}

function createSinkKey(lead: HostName, fencingNumber: FencingNumber): string {
  return `${lead}/${fencingNumber}`;
}
