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

/** Carries the lease questions of other sidecars to this host's `LeaseMember` and its answers back. */

/** Where answers to one lead go. */
type AnswerSink = (answer: LeaseAnswer) => void;

/** Options of the member's side. */
export interface LeaseMemberDriverOptions {
  readonly host: HostName;
  readonly incarnation: Incarnation;
  readonly longestLease: Milliseconds;
  readonly clock: Clock;
}

export class LeaseMemberDriver {
  readonly #clock: Clock;
  readonly #member: LeaseMember;
  /** By lead and fencing number: a lead has one stream for each placement. */
  readonly #sinks = new Map<string, AnswerSink>();
  #isHealthy = false;
  readonly #readiness = new Map<FencingNumber, boolean>();

  constructor(options: LeaseMemberDriverOptions) {
    this.#clock = options.clock;
    this.#member = new LeaseMember(options);
  }

  /** Starts the wait of a restarted member. */
  start(): void {
    this.#handle({ type: 'started', now: this.#clock.monotonic() });
  }

  register(router: ConnectRouter): void {
    router.service(LeaseService, { hold: (questions) => this.#hold(questions) });
  }

  /** A question of the lead on this very host; the answer may also come later, unasked. */
  askLocally(question: LeaseQuestion, sink: AnswerSink): void {
    this.#ask(question, sink);
  }

  setHealthy(isHealthy: boolean): void {
    if (isHealthy === this.#isHealthy) {
      return;
    }
    this.#isHealthy = isHealthy;
    this.#handle({ type: 'healthChanged', now: this.#clock.monotonic(), isHealthy });
  }

  /** Whether the upstream has loaded what a placement offers. */
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

  /** The placement whose lead may still count on this host; undefined when none may. */
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
        this.#ask(reader.read(message), sink);
      }
    } catch {
      // The lead's connection broke; what it was granted runs out by itself.
    } finally {
      answers.close();
      this.#forget(sink);
    }
  }

  #ask(question: LeaseQuestion, sink: AnswerSink): void {
    this.#sinks.set(createSinkKey(question.lead, question.fencingNumber), sink);
    this.#handle({ type: 'asked', now: this.#clock.monotonic(), question });
  }

  #handle(event: LeaseMemberEvent): void {
    for (const { to, answer } of this.#member.handle(event)) {
      this.#sinks.get(createSinkKey(to, answer.fencingNumber))?.(answer);
    }
  }

  #forget(sink: AnswerSink): void {
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
