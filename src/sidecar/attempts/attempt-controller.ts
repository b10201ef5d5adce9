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
import {
  AdmissionController,
  defaultAdmissionLimits,
  type AdmissionLimits,
} from './admission-controller.js';
import { AttemptRecord } from './attempt-record.js';
import { AttemptRegistry, defaultRegistryLimits, type RegistryLimits } from './attempt-registry.js';
import type {
  AttemptEffect,
  AttemptEvent,
  AttemptKey,
  AttemptMessage,
  SubscriberId,
} from './messages.js';

type EventOf<Type extends AttemptEvent['type']> = Extract<AttemptEvent, { readonly type: Type }>;

/** Times and bounds of the attempts at one sidecar. */
export interface AttemptLimits {
  readonly admission: AdmissionLimits;
  readonly registry: RegistryLimits;
  /** Bytes of a running answer kept for taking it up again. */
  readonly resumeBytes: number;
  /** Silence after which a keep-alive is sent. */
  readonly keepAliveInterval: Milliseconds;
  /** How long an attempt goes on when nobody listens to it any more. */
  readonly detachedGrace: Milliseconds;
}

/** Keep-alives four times a second let a gateway notice silence within a second. */
export const defaultAttemptLimits: AttemptLimits = {
  admission: defaultAdmissionLimits,
  registry: defaultRegistryLimits,
  resumeBytes: 1024 * 1024,
  keepAliveInterval: 250,
  detachedGrace: 10_000,
};

/** Retry-After for refusals that another group can make good at once. */
const shortRetryAfter: Milliseconds = 1000;

const emptyLoad: Load = { running: 0, queued: 0, capacity: 0 };

/**
 * All decisions on the attempts that reach one sidecar: whether they may run, in which order, what a gateway that lost
 * its connection is told, and when the upstream's stream is cancelled.
 */
export class AttemptController implements Controller<AttemptEvent, AttemptEffect> {
  readonly #incarnation: Incarnation;
  readonly #limits: AttemptLimits;
  readonly #registry: AttemptRegistry;
  readonly #admissions = new Map<GroupName, AdmissionController>();
  readonly #lastSent = new Map<number, Milliseconds>();
  #revision = 0;
  #isDraining = false;

  constructor(incarnation: Incarnation, limits: AttemptLimits = defaultAttemptLimits) {
    this.#incarnation = incarnation;
    this.#limits = limits;
    this.#registry = new AttemptRegistry(incarnation, limits.registry);
  }

  /** Attempts that are queued or running. */
  get unfinishedCount(): number {
    return this.#registry.unfinishedCount;
  }

  /** Attempts and tombstones remembered. */
  get rememberedCount(): number {
    return this.#registry.size;
  }

  /** Names of the attempts that are queued or running, for the report of a hard limit. */
  listUnfinished(): readonly string[] {
    return this.#registry.unfinished.map((record) => record.key);
  }

  /** Unfinished attempts of one group, to tell when its drain is over. */
  countUnfinished(group: GroupName): number {
    return this.#registry.unfinished.filter((record) => record.order.group === group).length;
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
    const { order, group, now, subscriber } = event;
    this.#revision = Math.max(this.#revision, event.revision);
    const code = this.#findRefusal(event);
    if (code !== undefined || group === undefined) {
      return this.#refuseArrival(event, code ?? 'unknownGroup', shortRetryAfter);
    }
    const admission = this.#admissionOf(order.group);
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
        return [this.#send(subscriber, { type: 'keepAlive', load: admission.load }, now)];
      case 'start':
        this.#registry.add(record);
        return this.#beginConfirm(record, now);
      default:
        return assertNever(verdict);
    }
  }

  /** Why the attempt may not even queue; undefined when nothing speaks against it. */
  #findRefusal(event: EventOf<'arrived'>): ResultCodeName | undefined {
    const { order, group } = event;
    if (order.name.incarnation !== this.#incarnation) {
      return 'staleIncarnation';
    }
    const verdict = this.#registry.judge(order.name, event.wallNow);
    switch (verdict.type) {
      case 'known':
        return 'duplicateAttempt';
      case 'tombstoned':
        return 'tombstoned';
      case 'tooOld':
        return 'attemptTooOld';
      case 'full':
        return 'overloaded';
      case 'new':
        break;
      default:
        return assertNever(verdict);
    }
    if (group === undefined) {
      return 'unknownGroup';
    }
    if (group.fencingNumber !== order.fencingNumber) {
      return 'staleFencingNumber';
    }
    if (order.configurationRevision < this.#revision) {
      return 'staleConfiguration';
    }
    if (this.#isDraining || group.isDraining) {
      return 'draining';
    }
    if (order.remaining <= 0) {
      return 'deadlineBeforeStart';
    }
    return group.isWhole ? undefined : 'notWhole';
  }

  /**
   * A refusal of an arrival is remembered as a tombstone where the attempt was meant for us: the gateway takes it for
   * "not run", so a second copy of the message, which may meet a free slot, must not run either.
   */
  #refuseArrival(
    event: EventOf<'arrived'>,
    code: ResultCodeName,
    retryAfter: Milliseconds,
  ): readonly AttemptEffect[] {
    const { order, subscriber, now } = event;
    if (code !== 'duplicateAttempt') {
      this.#registry.ask(order.name, now);
    }
    const load = this.#admissions.get(order.group)?.load ?? emptyLoad;
    const refusal = { code, load, retryAfter, configurationRevision: this.#revision };
    this.#lastSent.delete(subscriber);
    return [
      { type: 'send', subscriber, message: { type: 'refused', refusal } },
      { type: 'closeSubscriber', subscriber },
    ];
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
    const load = this.#admissionOf(record.order.group).load;
    return [
      { type: 'startUpstream', key: record.key },
      ...this.#tell(record, { type: 'accepted', load }, event.now),
    ];
  }

  #takeHead(event: EventOf<'upstreamHead'>): readonly AttemptEffect[] {
    const record = this.#registry.find(event.key);
    if (record?.stage !== 'running') {
      return [];
    }
    const { status, headers, now } = event;
    record.setHead({ status, headers });
    return this.#tell(record, { type: 'head', status, headers }, now);
  }

  #takeData(event: EventOf<'upstreamData'>): readonly AttemptEffect[] {
    const record = this.#registry.find(event.key);
    if (record?.stage !== 'running') {
      return [];
    }
    const offset = record.buffer.append(event.bytes);
    return this.#tell(record, { type: 'data', offset, bytes: event.bytes }, event.now);
  }

  #takeEnd(event: EventOf<'upstreamEnded'>): readonly AttemptEffect[] {
    const record = this.#registry.find(event.key);
    if (record?.stage !== 'running') {
      return [];
    }
    const { now, code } = event;
    record.step('end', now, code);
    const admission = this.#admissionOf(record.order.group);
    admission.release(record.key, now, code === 'ok');
    const message = record.describeEnd(admission.estimateRetryAfter());
    return [
      ...this.#tell(record, message, now),
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
      return [{ type: 'closeSubscriber', subscriber }];
    }
    const effects: AttemptEffect[] = [];
    if (record.subscriber !== undefined) {
      effects.push({ type: 'closeSubscriber', subscriber: record.subscriber });
      this.#lastSent.delete(record.subscriber);
    }
    this.#registry.attach(record, subscriber);
    effects.push(...this.#replay(record, offset, chunks, now));
    if (record.isOver) {
      effects.push(...this.#finish(record, now));
    }
    return effects;
  }

  /** All that a gateway needs to go on from an offset. */
  #replay(
    record: AttemptRecord,
    offset: number,
    chunks: readonly Uint8Array[],
    now: Milliseconds,
  ): readonly AttemptEffect[] {
    const load = this.#admissionOf(record.order.group).load;
    if (record.stage === 'refused') {
      return this.#tell(record, this.#refusalOf(record.code, load, shortRetryAfter), now);
    }
    if (record.stage === 'queued' || record.stage === 'confirming') {
      return this.#tell(record, { type: 'keepAlive', load }, now);
    }
    const effects = [...this.#tell(record, { type: 'accepted', load }, now)];
    if (record.head !== undefined) {
      effects.push(...this.#tell(record, { type: 'head', ...record.head }, now));
    }
    let position = offset;
    for (const bytes of chunks) {
      effects.push(...this.#tell(record, { type: 'data', offset: position, bytes }, now));
      position += bytes.length;
    }
    if (record.stage === 'ended') {
      effects.push(...this.#tell(record, record.describeEnd(0), now));
    }
    return effects;
  }

  #cancel(event: EventOf<'cancelled'>): readonly AttemptEffect[] {
    const record = this.#registry.find(formatAttemptName(event.name));
    if (record === undefined) {
      this.#registry.ask(event.name, event.now);
      return [];
    }
    return this.#stop(record, event.now);
  }

  /** Ends an attempt that nobody wants or that has no time left, and lets the upstream know. */
  #stop(
    record: AttemptRecord,
    now: Milliseconds,
    code: ResultCodeName = 'cancelled',
  ): readonly AttemptEffect[] {
    if (record.isOver) {
      return [];
    }
    if (record.stage !== 'running') {
      return this.#refuseKnown(record, 'deadlineBeforeStart', 0, now);
    }
    record.step('end', now, code);
    this.#admissionOf(record.order.group).release(record.key, now, false);
    return [
      { type: 'cancelUpstream', key: record.key },
      ...this.#tell(record, record.describeEnd(0), now),
      ...this.#finish(record, now),
      ...this.#startNext(record.order.group, now),
    ];
  }

  #loseSubscriber(event: EventOf<'subscriberGone'>): readonly AttemptEffect[] {
    this.#lastSent.delete(event.subscriber);
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
        effects.push(...this.#expire(key, admission, now));
      }
      effects.push(...this.#startNext(group, now));
    }
    for (const record of this.#registry.unfinished) {
      effects.push(...this.#watch(record, now));
    }
    this.#registry.expire(now);
    return effects;
  }

  #expire(
    key: string,
    admission: AdmissionController,
    now: Milliseconds,
  ): readonly AttemptEffect[] {
    const record = this.#registry.find(key);
    return record === undefined
      ? []
      : this.#refuseKnown(record, 'overloaded', admission.estimateRetryAfter(), now);
  }

  /** Keep-alive for a listener; an end for an attempt without one, or without time. */
  #watch(record: AttemptRecord, now: Milliseconds): readonly AttemptEffect[] {
    const { subscriber, detachedAt } = record;
    if (now >= record.deadline) {
      return this.#stop(record, now, 'deadlineAfterStart');
    }
    if (subscriber === undefined) {
      const isForgotten = now - (detachedAt ?? now) >= this.#limits.detachedGrace;
      return isForgotten ? this.#stop(record, now) : [];
    }
    const lastSent = this.#lastSent.get(subscriber) ?? 0;
    if (now - lastSent < this.#limits.keepAliveInterval) {
      return [];
    }
    const load = this.#admissionOf(record.order.group).load;
    return this.#tell(record, { type: 'keepAlive', load }, now);
  }

  #startNext(group: GroupName, now: Milliseconds): readonly AttemptEffect[] {
    const started = this.#admissionOf(group).startNext(now);
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
    const admission = this.#admissionOf(record.order.group);
    admission.release(record.key, now, false);
    return [
      { type: 'dropRequest', key: record.key },
      ...this.#tell(record, this.#refusalOf(code, admission.load, retryAfter), now),
      ...this.#finish(record, now),
      ...this.#startNext(record.order.group, now),
    ];
  }

  #refusalOf(code: ResultCodeName, load: Load, retryAfter: Milliseconds): AttemptMessage {
    const configurationRevision = this.#revision;
    return { type: 'refused', refusal: { code, load, retryAfter, configurationRevision } };
  }

  #finish(record: AttemptRecord, now: Milliseconds): readonly AttemptEffect[] {
    const { subscriber } = record;
    this.#registry.noteOver(record);
    this.#registry.detach(record, now);
    if (subscriber === undefined) {
      return [];
    }
    this.#lastSent.delete(subscriber);
    return [{ type: 'closeSubscriber', subscriber }];
  }

  #tell(
    record: AttemptRecord,
    message: AttemptMessage,
    now: Milliseconds,
  ): readonly AttemptEffect[] {
    return record.subscriber === undefined ? [] : [this.#send(record.subscriber, message, now)];
  }

  #send(subscriber: number, message: AttemptMessage, now: Milliseconds): AttemptEffect {
    this.#lastSent.set(subscriber, now);
    return { type: 'send', subscriber, message };
  }

  #admissionOf(group: GroupName): AdmissionController {
    const known = this.#admissions.get(group);
    if (known !== undefined) {
      return known;
    }
    const created = new AdmissionController(this.#limits.admission);
    this.#admissions.set(group, created);
    return created;
  }
}
