import type { Logger } from 'pino';

import {
  assertNever,
  createIdentifier,
  type Clock,
  type Milliseconds,
} from '../../common/index.js';
import {
  LeaseService,
  type LeaseQuestion as LeaseQuestionMessage,
} from '../../generated/pistachiospoke/v1/lease_pb.js';
import {
  LeaseAnswerReader,
  LeaseLead,
  LeaseQuestionWriter,
  type LeaseLeadEffect,
  type LeaseLeadEvent,
  type LeaseQuestion,
} from '../../lease/index.js';
import type { Group, GroupHealth, GroupMember, HostName, Incarnation } from '../../model/index.js';
import { MessageQueue, type RpcClientPool } from '../../wire/index.js';
import type { LeaseMemberDriver } from './lease-member-driver.js';

/** Carries the questions of one `LeaseLead` to the members of its group and their answers back. */

/** None: attempts that come while a round is under way share the next one, which batches under load and delays nothing without. */
const confirmBatch: Milliseconds = 0;
const confirmTimeout: Milliseconds = 250;
/** A closed stream fails its questions at once; this long the next one is not opened, so that a dead host is not hammered. */
const reopenDelay: Milliseconds = 100;

/** Options of the lead's side. */
export interface LeaseLeadDriverOptions {
  readonly group: Group;
  readonly host: HostName;
  readonly incarnation: Incarnation;
  readonly duration: Milliseconds;
  readonly clients: RpcClientPool;
  readonly clock: Clock;
  readonly logger: Logger;
  /** The member of this very host. */
  readonly member: LeaseMemberDriver;
  readonly onHealth: (health: GroupHealth) => void;
}

/** The questions to one member. */
interface QuestionStream {
  readonly queue: MessageQueue<LeaseQuestionMessage>;
  readonly writer: LeaseQuestionWriter;
}

export class LeaseLeadDriver {
  readonly #options: LeaseLeadDriverOptions;
  readonly #lead: LeaseLead;
  readonly #streams = new Map<HostName, QuestionStream>();
  /** When each member last answered, or its stream was opened. */
  readonly #heardAt = new Map<HostName, Milliseconds>();
  readonly #closedAt = new Map<HostName, Milliseconds>();
  readonly #confirmations = new Map<string, (isWhole: boolean) => void>();
  #timer: NodeJS.Timeout | undefined;
  #isDissolved = false;

  constructor(options: LeaseLeadDriverOptions) {
    this.#options = options;
    const { group, incarnation, duration } = options;
    this.#lead = new LeaseLead({ group, incarnation, duration, confirmBatch, confirmTimeout });
  }

  get group(): Group {
    return this.#options.group;
  }

  start(): void {
    this.#handle({ type: 'started', now: this.#now() });
  }

  /** Hands the leases back; nothing is admitted from here on. */
  dissolve(): void {
    if (this.#isDissolved) {
      return;
    }
    this.#isDissolved = true;
    this.#handle({ type: 'dissolved', now: this.#now() });
    clearTimeout(this.#timer);
    for (const { queue } of this.#streams.values()) {
      queue.close();
    }
  }

  requestDrain(): void {
    this.#handle({ type: 'drainRequested', now: this.#now() });
  }

  noteRunning(running: number): void {
    this.#handle({ type: 'attemptsChanged', now: this.#now(), running });
  }

  isWhole(now: Milliseconds): boolean {
    return this.#lead.isWhole(now);
  }

  get isDraining(): boolean {
    return this.#lead.isDraining;
  }

  health(): GroupHealth {
    return this.#lead.health(this.#now());
  }

  /** Asks every member once more; false when one does not vouch for the group now. */
  confirm(): Promise<boolean> {
    const token = createIdentifier();
    return new Promise((resolve) => {
      this.#confirmations.set(token, resolve);
      this.#handle({ type: 'confirmRequested', now: this.#now(), token });
    });
  }

  #now(): Milliseconds {
    return this.#options.clock.monotonic();
  }

  #handle(event: LeaseLeadEvent): void {
    for (const effect of this.#lead.handle(event)) {
      this.#carryOut(effect);
    }
  }

  #carryOut(effect: LeaseLeadEffect): void {
    const { logger, group, onHealth } = this.#options;
    const place = { group: group.name, fencingNumber: group.fencingNumber };
    switch (effect.type) {
      case 'ask':
        this.#ask(effect.member, effect.question);
        return;
      case 'wake':
        this.#wakeAt(effect.at);
        return;
      case 'healthChanged':
        logger.info({ ...place, health: effect.health }, 'group health changed');
        onHealth(effect.health);
        return;
      case 'drainNoted':
        logger.info({ ...place, member: effect.member }, 'a member asks to drain');
        return;
      case 'superseded':
        logger.info({ ...place, member: effect.member }, 'a member serves a newer placement');
        return;
      case 'confirmed':
        this.#confirmations.get(effect.token)?.(effect.isWhole);
        this.#confirmations.delete(effect.token);
        return;
      default:
        assertNever(effect);
    }
  }

  #wakeAt(at: Milliseconds): void {
    clearTimeout(this.#timer);
    if (at === Infinity) {
      return;
    }
    const wait = Math.max(0, Math.ceil(at - this.#now()));
    this.#timer = setTimeout(() => {
      this.#handle({ type: 'ticked', now: this.#now() });
    }, wait);
  }

  #ask(member: GroupMember, question: LeaseQuestion): void {
    if (member.host === this.#options.host) {
      this.#options.member.askLocally(question, (answer) => {
        // Not at once: the effects of the step that asked are still being carried out.
        queueMicrotask(() => {
          this.#handle({ type: 'answered', now: this.#now(), answer });
        });
      });
      return;
    }
    const stream = this.#openStream(member);
    stream?.queue.push(stream.writer.write(question));
  }

  /** Undefined shortly after a stream closed: the question counts as lost and the next round asks again. */
  #openStream(member: GroupMember): QuestionStream | undefined {
    const open = this.#streams.get(member.host);
    if (open !== undefined) {
      this.#retireIfSilent(member);
      return open;
    }
    const closedAt = this.#closedAt.get(member.host) ?? -Infinity;
    if (this.#now() - closedAt < reopenDelay) {
      return undefined;
    }
    const queue = new MessageQueue<LeaseQuestionMessage>();
    const stream = { queue, writer: new LeaseQuestionWriter() };
    this.#streams.set(member.host, stream);
    this.#heardAt.set(member.host, this.#now());
    void this.#readAnswers(member, queue);
    return stream;
  }

  /**
   * A connection that something on the way lost track of swallows questions without an error; a new one works.
   * One lease without an answer is the sign: the connection is dropped, which ends the stream.
   */
  #retireIfSilent(member: GroupMember): void {
    const heardAt = this.#heardAt.get(member.host) ?? -Infinity;
    if (this.#now() - heardAt > this.#options.duration) {
      this.#heardAt.set(member.host, this.#now());
      this.#options.clients.retire(member.address);
    }
  }

  async #readAnswers(
    member: GroupMember,
    stream: MessageQueue<LeaseQuestionMessage>,
  ): Promise<void> {
    const { clients, logger, group } = this.#options;
    const reader = new LeaseAnswerReader();
    try {
      for await (const answer of clients.client(LeaseService, member.address).hold(stream)) {
        const now = this.#now();
        this.#heardAt.set(member.host, now);
        this.#handle({ type: 'answered', now, answer: reader.read(answer) });
      }
    } catch (error) {
      const place = { group: group.name, member: member.host };
      logger.debug({ ...place, error: String(error) }, 'lease stream broke');
    }
    stream.close();
    this.#streams.delete(member.host);
    const now = this.#now();
    this.#closedAt.set(member.host, now);
    this.#handle({ type: 'connectionClosed', now, member: member.host });
  }
}
