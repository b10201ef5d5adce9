import {
  assertNever,
  type Controller,
  type Milliseconds,
  type ResultCodeName,
} from '../../common/index.js';
import {
  formatAttemptName,
  type GroupName,
  type Incarnation,
  type Load,
} from '../../model/index.js';
import type { AdmissionController } from './admission-controller.js';
import { checkArrival } from './arrival-check.js';
import { AttemptOutbox } from './attempt-outbox.js';
import { AttemptRecord } from './attempt-record.js';
import { AttemptRegistry } from './attempt-registry.js';
import { GroupAdmissions } from './group-admissions.js';
import { defaultAttemptLimits, type AttemptLimits } from './limits.js';
import type {
  AttemptEffect,
  AttemptEvent,
  AttemptKey,
  AttemptMessage,
  GroupFacts,
  SubscriberId,
} from './messages.js';

type EventOf<Type extends AttemptEvent['type']> = Extract<AttemptEvent, { readonly type: Type }>;

/** Retry-After for refusals that another group can make good at once. */
const shortRetryAfter: Milliseconds = 1000;

/**
 * All decisions on the attempts that reach one sidecar: whether they may run, in which order, what a gateway that lost
 * its connection is told, and when the upstream's stream is cancelled.
 */
export class AttemptController implements Controller<AttemptEvent, AttemptEffect> {
  readonly #incarnation: Incarnation;
  readonly #limits: AttemptLimits;
  readonly #registry: AttemptRegistry;
  readonly #outbox = new AttemptOutbox();
  readonly #admissions: GroupAdmissions;
  #revision = 0;
  #isDraining = false;

  constructor(incarnation: Incarnation, limits: AttemptLimits = defaultAttemptLimits) {
    this.#incarnation = incarnation;
    this.#limits = limits;
    this.#registry = new AttemptRegistry(incarnation, limits.registry);
    this.#admissions = new GroupAdmissions(limits.admission);
  }

  /** Attempts that are queued or running. */
  get unfinishedCount(): number {
    return this.#registry.unfinishedCount;
  }

  /** Attempts that are queued or running, for the report of a hard limit. */
  listUnfinished(): readonly AttemptKey[] {
    return [...this.#registry.unfinished].map((record) => record.key);
  }

  /** Unfinished attempts of one group, to tell when its drain is over. */
  countUnfinished(group: GroupName): number {
    return [...this.#registry.unfinished].filter((record) => record.order.group === group).length;
  }

  /** Whether the attempt is queued or running. */
  isUnfinished(key: AttemptKey): boolean {
    const record = this.#registry.find(key);
    return record !== undefined && !record.isOver;
  }

  /** Who listens to the attempt now. */
  findSubscriber(key: AttemptKey): SubscriberId | undefined {
    return this.#registry.find(key)?.subscriber;
  }

  handle(event: AttemptEvent): readonly AttemptEffect[] {
    switch (event.type) {
      case 'arrived':
        return this.#arrive(event);
      case 'confirmed':
        return this.#confirm(event);
      case 'upstreamHead':
        return this.#takeHead(event);
      case 'upstreamData':
        return this.#takeData(event);
      case 'upstreamEnded':
        return this.#takeEnd(event);
      case 'asked':
        return this.#answerAsk(event);
      case 'resumed':
        return this.#resume(event);
      case 'cancelled':
        return this.#cancel(event);
      case 'subscriberGone':
        return this.#loseSubscriber(event);
      case 'tick':
        return this.#tick(event.now);
      case 'drainStarted':
        this.#isDraining = true;
        return [];
      default:
        return assertNever(event);
    }
  }

  #arrive(event: EventOf<'arrived'>): readonly AttemptEffect[] {
    this.#revision = Math.max(this.#revision, event.revision);
    const check = checkArrival(event.order, event.group, {
      incarnation: this.#incarnation,
      registry: this.#registry,
      revision: this.#revision,
      isDraining: this.#isDraining,
      wallNow: event.wallNow,
    });
    return check.type === 'refused'
      ? this.#refuseArrival(event, check.code, shortRetryAfter)
      : this.#admit(event, check.group);
  }

  #admit(event: EventOf<'arrived'>, group: GroupFacts): readonly AttemptEffect[] {
    const { order, now, subscriber } = event;
    const admission = this.#admissions.of(order.group);
    admission.setCapacity(group.concurrency);
    const record = new AttemptRecord(order, subscriber, this.#limits.resumeBytes, now);
    const verdict = admission.request(
      {
        key: record.key,
        account: order.account,
        weight: order.accountWeight,
        priority: order.priority,
        remaining: order.remaining,
      },
      now,
    );
    switch (verdict.type) {
      case 'refused':
        return this.#refuseArrival(event, 'overloaded', verdict.retryAfter);
      case 'queued':
        this.#registry.add(record);
        return this.#outbox.tell(record, { type: 'keepAlive', load: admission.load }, now);
      case 'start':
        this.#registry.add(record);
        return this.#beginConfirm(record, now);
      default:
        return assertNever(verdict);
    }
  }

  /**
   * A refusal of an arrival leaves a tombstone: the gateway takes it for "not run", so a second copy of the message,
   * which may meet a free slot, must not run either. A duplicate leaves none: its first copy may be running.
   */
  #refuseArrival(
    event: EventOf<'arrived'>,
    code: ResultCodeName,
    retryAfter: Milliseconds,
  ): readonly AttemptEffect[] {
    const { order, subscriber, now } = event;
    if (code !== 'duplicateAttempt') {
      this.#registry.bury(order.name, now);
    }
    const load = this.#admissions.readLoad(order.group);
    return this.#outbox.tellLast(subscriber, this.#refusalOf(code, load, retryAfter));
  }

  #beginConfirm(record: AttemptRecord, now: Milliseconds): readonly AttemptEffect[] {
    record.step('slotFreed', now);
    const { group, fencingNumber } = record.order;
    return [{ type: 'confirm', key: record.key, group, fencingNumber }];
  }

  #confirm(event: EventOf<'confirmed'>): readonly AttemptEffect[] {
    const record = this.#registry.find(event.key);
    if (record?.stage !== 'confirming') {
      return [];
    }
    if (event.code !== 'ok') {
      return this.#refuseKnown(record, event.code, shortRetryAfter, event.now);
    }
    record.step('groupConfirmed', event.now);
    const load = this.#admissions.readLoad(record.order.group);
    return [
      { type: 'startUpstream', key: record.key },
      ...this.#outbox.tell(record, { type: 'accepted', load }, event.now),
    ];
  }

  #takeHead(event: EventOf<'upstreamHead'>): readonly AttemptEffect[] {
    const record = this.#findRunning(event.key);
    if (record === undefined) {
      return [];
    }
    const { status, headers, now } = event;
    record.setHead({ status, headers });
    return this.#outbox.tell(record, { type: 'head', status, headers }, now);
  }

  #takeData(event: EventOf<'upstreamData'>): readonly AttemptEffect[] {
    const record = this.#findRunning(event.key);
    if (record === undefined) {
      return [];
    }
    const offset = record.buffer.append(event.bytes);
    return this.#outbox.tell(record, { type: 'data', offset, bytes: event.bytes }, event.now);
  }

  #takeEnd(event: EventOf<'upstreamEnded'>): readonly AttemptEffect[] {
    const record = this.#findRunning(event.key);
    return record === undefined ? [] : this.#end(record, event.code, event.now);
  }

  /** Ends a running attempt, with or without a whole answer. */
  #end(record: AttemptRecord, code: ResultCodeName, now: Milliseconds): readonly AttemptEffect[] {
    record.step('end', now, code);
    const admission = this.#admissions.of(record.order.group);
    admission.release(record.key, now, code === 'ok');
    return [
      ...this.#outbox.tell(record, record.describeEnd(admission.estimateRetryAfter()), now),
      ...this.#finish(record, now),
      ...this.#startNext(record.order.group, now),
    ];
  }

  #answerAsk(event: EventOf<'asked'>): readonly AttemptEffect[] {
    const state = this.#registry.ask(event.name, event.now);
    return [{ type: 'answerAsk', question: event.question, state }];
  }

  #resume(event: EventOf<'resumed'>): readonly AttemptEffect[] {
    const { name, subscriber, offset, now } = event;
    const record = this.#registry.find(formatAttemptName(name));
    const chunks = record?.buffer.readFrom(offset);
    if (record === undefined || chunks === undefined || name.incarnation !== this.#incarnation) {
      return this.#outbox.close(subscriber);
    }
    const closed = this.#outbox.close(record.subscriber);
    this.#registry.attach(record, subscriber, now);
    const replayed = this.#replay(record, offset, chunks, now);
    return [...closed, ...replayed, ...(record.isOver ? this.#finish(record, now) : [])];
  }

  #replay(
    record: AttemptRecord,
    offset: number,
    chunks: readonly Uint8Array[],
    now: Milliseconds,
  ): readonly AttemptEffect[] {
    const load = this.#admissions.readLoad(record.order.group);
    switch (record.stage) {
      case 'refused':
        return this.#outbox.tell(record, this.#refusalOf(record.code, load, shortRetryAfter), now);
      case 'queued':
      case 'confirming':
        return this.#outbox.tell(record, { type: 'keepAlive', load }, now);
      case 'running':
      case 'ended':
        return this.#outbox.replay(record, offset, chunks, load, now);
    }
  }

  /** A cancellation that overtakes its attempt leaves a tombstone, so that the attempt does not run for nobody. */
  #cancel(event: EventOf<'cancelled'>): readonly AttemptEffect[] {
    const record = this.#registry.find(formatAttemptName(event.name));
    if (record === undefined) {
      this.#registry.bury(event.name, event.now);
      return [];
    }
    return this.#stop(record, 'cancelled', event.now);
  }

  /** Ends an attempt that nobody wants or that has no time left, and lets the upstream know. */
  #stop(record: AttemptRecord, code: ResultCodeName, now: Milliseconds): readonly AttemptEffect[] {
    if (record.isOver) {
      return [];
    }
    if (record.stage !== 'running') {
      return this.#refuseKnown(record, 'deadlineBeforeStart', 0, now);
    }
    return [{ type: 'cancelUpstream', key: record.key }, ...this.#end(record, code, now)];
  }

  #loseSubscriber(event: EventOf<'subscriberGone'>): readonly AttemptEffect[] {
    this.#outbox.forget(event.subscriber);
    const record = this.#registry.findBySubscriber(event.subscriber);
    if (record !== undefined) {
      this.#registry.detach(record, event.now);
    }
    return [];
  }

  #tick(now: Milliseconds): readonly AttemptEffect[] {
    const effects: AttemptEffect[] = [];
    for (const [group, admission] of this.#admissions) {
      for (const key of admission.expire(now)) {
        effects.push(...this.#refuseExpired(key, admission, now));
      }
      effects.push(...this.#startNext(group, now));
    }
    for (const record of this.#registry.unfinished) {
      effects.push(...this.#watch(record, now));
    }
    this.#registry.expire(now);
    return effects;
  }

  #refuseExpired(
    key: AttemptKey,
    admission: AdmissionController,
    now: Milliseconds,
  ): readonly AttemptEffect[] {
    const record = this.#registry.find(key);
    const retryAfter = admission.estimateRetryAfter();
    return record === undefined ? [] : this.#refuseKnown(record, 'overloaded', retryAfter, now);
  }

  /** Keep-alive for a listener; an end for an attempt without one, or without time. */
  #watch(record: AttemptRecord, now: Milliseconds): readonly AttemptEffect[] {
    const { subscriber, detachedAt } = record;
    if (now >= record.deadline) {
      return this.#stop(record, 'deadlineAfterStart', now);
    }
    if (subscriber === undefined) {
      const isForgotten = now - (detachedAt ?? now) >= this.#limits.detachedGrace;
      return isForgotten ? this.#stop(record, 'cancelled', now) : [];
    }
    if (!this.#outbox.isQuiet(subscriber, now, this.#limits.keepAliveInterval)) {
      return [];
    }
    const load = this.#admissions.readLoad(record.order.group);
    return this.#outbox.tell(record, { type: 'keepAlive', load }, now);
  }

  #startNext(group: GroupName, now: Milliseconds): readonly AttemptEffect[] {
    const started = this.#admissions.of(group).startNext(now);
    return started.flatMap((key) => {
      const record = this.#registry.find(key);
      return record === undefined ? [] : this.#beginConfirm(record, now);
    });
  }

  /** Refuses an attempt that was taken in but has not reached the upstream. */
  #refuseKnown(
    record: AttemptRecord,
    code: ResultCodeName,
    retryAfter: Milliseconds,
    now: Milliseconds,
  ): readonly AttemptEffect[] {
    if (!record.step('refuse', now, code)) {
      return [];
    }
    const admission = this.#admissions.of(record.order.group);
    admission.release(record.key, now, false);
    return [
      { type: 'dropRequest', key: record.key },
      ...this.#outbox.tell(record, this.#refusalOf(code, admission.load, retryAfter), now),
      ...this.#finish(record, now),
      ...this.#startNext(record.order.group, now),
    ];
  }

  #refusalOf(code: ResultCodeName, load: Load, retryAfter: Milliseconds): AttemptMessage {
    const configurationRevision = this.#revision;
    return { type: 'refused', refusal: { code, load, retryAfter, configurationRevision } };
  }

  #finish(record: AttemptRecord, now: Milliseconds): readonly AttemptEffect[] {
    const closed = this.#outbox.close(record.subscriber);
    this.#registry.noteOver(record, now);
    this.#registry.detach(record, now);
    return closed;
  }

  #findRunning(key: AttemptKey): AttemptRecord | undefined {
    const record = this.#registry.find(key);
    return record?.stage === 'running' ? record : undefined;
  }
}
