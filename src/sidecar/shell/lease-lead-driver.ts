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

/** Transport of one `LeaseLead`: sends its questions to the members of its group and receives their answers. */

/** Zero: attempts that arrive during a round share the next one, which batches under load and adds no delay otherwise. */
const confirmBatch: Milliseconds = 0;
const confirmTimeout: Milliseconds = 250;
/** A closed stream fails its questions at once. It stays closed for this long, to avoid flooding a dead host with connection attempts. */
const reopenDelay: Milliseconds = 100;

/** Options of the lease lead driver. */
export interface LeaseLeadDriverOptions {
  readonly group: Group;
  readonly host: HostName;
  readonly incarnation: Incarnation;
  readonly duration: Milliseconds;
  readonly clients: RpcClientPool;
  readonly clock: Clock;
  readonly logger: Logger;
  /** The lease member on this host. */
  readonly member: LeaseMemberDriver;
  readonly onHealthChange: (health: GroupHealth) => void;
}

/** Outgoing questions to one member. */
interface QuestionStream {
  readonly queue: MessageQueue<LeaseQuestionMessage>;
  readonly writer: LeaseQuestionWriter;
}

export class LeaseLeadDriver {
  readonly #options: LeaseLeadDriverOptions;
  readonly #lead: LeaseLead;
  readonly #streams = new Map<HostName, QuestionStream>();
  /** When each member last answered, or its stream was opened or its connection retired. */
  readonly #lastAnswerAt = new Map<HostName, Milliseconds>();
  readonly #closedAt = new Map<HostName, Milliseconds>();
  readonly #pendingConfirmations = new Map<string, (isWhole: boolean) => void>();
  #timer: NodeJS.Timeout | undefined;
  #isDissolved = false;

  constructor(options: LeaseLeadDriverOptions) {
    this.#options = options;
    const { group, incarnation, duration } = options;
    this.#lead = new LeaseLead({
      group,
      incarnation,
      duration,
      confirmBatchDelay: confirmBatch,
      confirmTimeout,
    });
  }

  get group(): Group {
    return this.#options.group;
  }

  start(): void {
    this.#handle({ type: 'started', now: this.#now() });
  }

  /** Releases the leases; no attempt is admitted afterwards. */
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

  updateRunning(running: number): void {
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

  /** Asks every member again; resolves to false if one of them does not confirm the group. */
  confirm(): Promise<boolean> {
    const token = createIdentifier();
    return new Promise((resolve) => {
      this.#pendingConfirmations.set(token, resolve);
      this.#handle({ type: 'confirmRequested', now: this.#now(), token });
    });
  }

  #now(): Milliseconds {
    return this.#options.clock.monotonic();
  }

  #handle(event: LeaseLeadEvent): void {
    for (const effect of this.#lead.handle(event)) {
      this.#applyEffect(effect);
    }
  }

  #applyEffect(effect: LeaseLeadEffect): void {
    const { logger, group, onHealthChange } = this.#options;
    const logContext = { group: group.name, fencingNumber: group.fencingNumber };
    switch (effect.type) {
      case 'ask':
        this.#sendQuestion(effect.member, effect.question);
        return;
      case 'wake':
        this.#wakeAt(effect.at);
        return;
      case 'healthChanged':
        logger.info({ ...logContext, health: effect.health }, 'group health changed');
        onHealthChange(effect.health);
        return;
      case 'drainNoted':
        logger.info({ ...logContext, member: effect.member }, 'member requested a drain');
        return;
      case 'superseded':
        logger.info(
          { ...logContext, member: effect.member },
          'group superseded: member serves a newer placement',
        );
        return;
      case 'confirmed':
        this.#pendingConfirmations.get(effect.token)?.(effect.isWhole);
        this.#pendingConfirmations.delete(effect.token);
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

  #sendQuestion(member: GroupMember, question: LeaseQuestion): void {
    if (member.host === this.#options.host) {
      this.#options.member.askLocally(question, (answer) => {
        // Deferred, because the effects of the event that caused the question are still being applied.
        queueMicrotask(() => {
          this.#handle({ type: 'answered', now: this.#now(), answer });
        });
      });
      return;
    }
    const stream = this.#findOrOpenStream(member);
    stream?.queue.push(stream.writer.write(question));
  }

  /** Returns undefined shortly after a stream closed: the question counts as lost and the next round repeats it. */
  #findOrOpenStream(member: GroupMember): QuestionStream | undefined {
    const open = this.#streams.get(member.host);
    if (open !== undefined) {
      this.#retireUnresponsiveConnection(member);
      return open;
    }
    const closedAt = this.#closedAt.get(member.host) ?? -Infinity;
    if (this.#now() - closedAt < reopenDelay) {
      return undefined;
    }
    const queue = new MessageQueue<LeaseQuestionMessage>();
    const stream = { queue, writer: new LeaseQuestionWriter() };
    this.#streams.set(member.host, stream);
    this.#lastAnswerAt.set(member.host, this.#now());
    void this.#readAnswers(member, queue);
    return stream;
  }

  /**
   * If a device on the path loses its connection state, questions are dropped without an error, while a new connection works.
   * A member that does not answer for the duration of a lease indicates this. Its connection is retired, which ends the stream.
   */
  #retireUnresponsiveConnection(member: GroupMember): void {
    const heardAt = this.#lastAnswerAt.get(member.host) ?? -Infinity;
    if (this.#now() - heardAt > this.#options.duration) {
      this.#lastAnswerAt.set(member.host, this.#now());
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
        this.#lastAnswerAt.set(member.host, now);
        this.#handle({ type: 'answered', now, answer: reader.read(answer) });
      }
    } catch (error) {
      const logContext = { group: group.name, member: member.host };
      logger.debug({ ...logContext, error: String(error) }, 'lease stream failed');
    }
    stream.close();
    this.#streams.delete(member.host);
    const now = this.#now();
    this.#closedAt.set(member.host, now);
    this.#handle({ type: 'connectionClosed', now, member: member.host });
  }
}
