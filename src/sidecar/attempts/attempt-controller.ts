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
import { checkArrival } from './arrival-check.js';
import { AttemptOutbox } from './attempt-outbox.js';
import { AttemptRecord } from './attempt-record.js';
import { AttemptRegistry } from './attempt-registry.js';
import { GroupAdmissions } from './group-admissions.js';
import { defaultAttemptLimits, type AttemptLimits } from './limits.js';
import { readPause, UpstreamPause } from './upstream-pause.js';
import type {
  AttemptEffect,
  AttemptEvent,
  AttemptKey,
  AttemptMessage,
  GroupSnapshot,
  SubscriberId,
} from './messages.js';

type EventOf<Type extends AttemptEvent['type']> = Extract<AttemptEvent, { readonly type: Type }>;

/** Retry-After for refusals where another group can take the request immediately. */
const shortRetryAfter: Milliseconds = 1000;

/**
 * Makes all decisions about the attempts at one sidecar: whether and in which order they run, what is reported to a
 * gateway that lost its connection, and when the upstream request is cancelled.
 */
export class AttemptController implements Controller<AttemptEvent, AttemptEffect> {
  readonly #incarnation: Incarnation;
  readonly #limits: AttemptLimits;
  readonly #registry: AttemptRegistry;
  readonly #outbox = new AttemptOutbox();
  readonly #admissions: GroupAdmissions;
  readonly #pause = new UpstreamPause();
  #revision = 0;
  #isDraining = false;

  constructor(incarnation: Incarnation, limits: AttemptLimits = defaultAttemptLimits) {
    this.#incarnation = incarnation;
    this.#limits = limits;
    this.#registry = new AttemptRegistry(incarnation, limits.registry);
    this.#admissions = new GroupAdmissions(limits.admission);
  }

  /** Number of attempts that are queued or running. */
  get unfinishedCount(): number {
    return this.#registry.unfinishedCount;
  }

  /** Attempts that are queued or running, to be reported when the drain reaches its time limit. */
  listUnfinished(): readonly AttemptKey[] {
    return [...this.#registry.unfinished].map((record) => record.key);
  }

  /** Number of unfinished attempts of one group, which shows whether its drain is complete. */
  countUnfinished(group: GroupName): number {
    return [...this.#registry.unfinished].filter((record) => record.order.group === group).length;
  }

  /** Whether the attempt is queued or running. */
  isUnfinished(key: AttemptKey): boolean {
    const record = this.#registry.find(key);
    return record !== undefined && !record.isFinished;
  }

  /** Returns the attempt's current subscriber. */
  findSubscriber(key: AttemptKey): SubscriberId | undefined {
    return this.#registry.find(key)?.subscriber;
  }

  handle(event: AttemptEvent): readonly AttemptEffect[] {
    switch (event.type) {
      case 'arrived':
        return this.#handleArrival(event);
      case 'confirmed':
        return this.#handleConfirmation(event);
      case 'upstreamHead':
        return this.#handleHead(event);
      case 'upstreamData':
        return this.#handleData(event);
      case 'upstreamEnded':
        return this.#handleUpstreamEnd(event);
      case 'asked':
        return this.#answerAsk(event);
      case 'resumed':
        return this.#resume(event);
      case 'cancelled':
        return this.#cancel(event);
      case 'subscriberGone':
        return this.#removeSubscriber(event);
      case 'tick':
        return this.#tick(event.now);
      case 'drainStarted':
        this.#isDraining = true;
        return [];
      default:
        return assertNever(event);
    }
  }

  #handleArrival(event: EventOf<'arrived'>): readonly AttemptEffect[] {
    this.#revision = Math.max(this.#revision, event.revision);
    const check = checkArrival(event.order, event.group, {
      incarnation: this.#incarnation,
      registry: this.#registry,
      revision: this.#revision,
      isDraining: this.#isDraining,
      wallNow: event.wallNow,
    });
    if (check.type === 'refused') {
      return this.#refuseArrival(event, check.code, shortRetryAfter);
    }
    const pause = this.#pause.remaining(event.now);
    return pause > 0
      ? this.#refuseArrival(event, 'upstreamsPaused', pause)
      : this.#admit(event, check.group);
  }

  #admit(event: EventOf<'arrived'>, group: GroupSnapshot): readonly AttemptEffect[] {
    const { order, now, subscriber } = event;
    const admission = this.#admissions.forGroup(order.group);
    admission.setCapacity(group.concurrency);
    const record = new AttemptRecord(order, subscriber, this.#limits.resumeBytes, now);
    const decision = admission.request(
      {
        key: record.key,
        account: order.account,
        weight: order.accountWeight,
        priority: order.priority,
        remaining: order.remaining,
      },
      now,
    );
    switch (decision.type) {
      case 'refused':
        return this.#refuseArrival(event, 'overloaded', decision.retryAfter);
      case 'queued':
        this.#registry.add(record);
        return this.#outbox.send(record, { type: 'keepAlive', load: admission.load }, now);
      case 'start':
        this.#registry.add(record);
        return this.#startConfirmation(record, now);
      default:
        return assertNever(decision);
    }
  }

  /**
   * Refuses an arriving attempt and adds a tombstone. The gateway treats the refusal as "not run", so a second copy of
   * the message must not run either, even if a slot is free by then. A duplicate adds no tombstone, because its first
   * copy may be running.
   */
  #refuseArrival(
    event: EventOf<'arrived'>,
    code: ResultCodeName,
    retryAfter: Milliseconds,
  ): readonly AttemptEffect[] {
    const { order, subscriber, now } = event;
    if (code !== 'duplicateAttempt') {
      this.#registry.addTombstone(order.name, now);
    }
    const load = this.#admissions.readLoad(order.group);
    return this.#outbox.sendFinal(subscriber, this.#createRefusal(code, load, retryAfter));
  }

  #startConfirmation(record: AttemptRecord, now: Milliseconds): readonly AttemptEffect[] {
    record.transition('slotFreed', now);
    const { group, fencingNumber } = record.order;
    return [{ type: 'confirm', key: record.key, group, fencingNumber }];
  }

  #handleConfirmation(event: EventOf<'confirmed'>): readonly AttemptEffect[] {
    const record = this.#registry.find(event.key);
    if (record?.stage !== 'confirming') {
      return [];
    }
    if (event.code !== 'ok') {
      return this.#refuseAdmitted(record, event.code, shortRetryAfter, event.now);
    }
    const pause = this.#pause.remaining(event.now);
    if (pause > 0) {
      return this.#refuseAdmitted(record, 'upstreamsPaused', pause, event.now);
    }
    record.transition('groupConfirmed', event.now);
    const load = this.#admissions.readLoad(record.order.group);
    return [
      { type: 'startUpstream', key: record.key },
      ...this.#outbox.send(record, { type: 'accepted', load }, event.now),
    ];
  }

  #handleHead(event: EventOf<'upstreamHead'>): readonly AttemptEffect[] {
    const record = this.#findRunning(event.key);
    if (record === undefined) {
      return [];
    }
    const { status, headers, now } = event;
    record.setHead({ status, headers });
    this.#pause.note(readPause(status, headers) ?? 0, now);
    return [
      ...this.#outbox.send(record, { type: 'head', status, headers }, now),
      ...this.#refuseOutwaited(now),
    ];
  }

  /** Refuses queued attempts whose wait would end before the pause of the upstream. */
  #refuseOutwaited(now: Milliseconds): readonly AttemptEffect[] {
    const pause = this.#pause.remaining(now);
    if (pause === 0) {
      return [];
    }
    return [...this.#admissions].flatMap(([, admission]) => {
      const keys = admission.expire(now + pause);
      return keys.flatMap((key) => this.#refuseQueued(key, 'upstreamsPaused', pause, now));
    });
  }

  #handleData(event: EventOf<'upstreamData'>): readonly AttemptEffect[] {
    const record = this.#findRunning(event.key);
    if (record === undefined) {
      return [];
    }
    const offset = record.buffer.append(event.bytes);
    return this.#outbox.send(record, { type: 'data', offset, bytes: event.bytes }, event.now);
  }

  #handleUpstreamEnd(event: EventOf<'upstreamEnded'>): readonly AttemptEffect[] {
    const record = this.#findRunning(event.key);
    if (record === undefined) {
      return [];
    }
    if (event.crash !== undefined) {
      record.setCrash(event.crash);
    }
    return this.#end(record, event.code, event.now);
  }

  /** Ends a running attempt, with or without a complete response. */
  #end(record: AttemptRecord, code: ResultCodeName, now: Milliseconds): readonly AttemptEffect[] {
    record.transition('end', now, code);
    const admission = this.#admissions.forGroup(record.order.group);
    admission.release(record.key, now, code === 'ok');
    return [
      ...this.#outbox.send(record, record.createEndMessage(admission.estimateRetryAfter()), now),
      ...this.#finish(record, now),
      ...this.#startNext(record.order.group, now),
    ];
  }

  #answerAsk(event: EventOf<'asked'>): readonly AttemptEffect[] {
    const state = this.#registry.queryState(event.name, event.now);
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
    return [...closed, ...replayed, ...(record.isFinished ? this.#finish(record, now) : [])];
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
        return this.#outbox.send(
          record,
          this.#createRefusal(record.code, load, shortRetryAfter),
          now,
        );
      case 'queued':
      case 'confirming':
        return this.#outbox.send(record, { type: 'keepAlive', load }, now);
      case 'running':
      case 'ended':
        return this.#outbox.replay(record, offset, chunks, load, now);
    }
  }

  /** A cancellation that arrives before its attempt adds a tombstone, so that it never runs without a client. */
  #cancel(event: EventOf<'cancelled'>): readonly AttemptEffect[] {
    const record = this.#registry.find(formatAttemptName(event.name));
    if (record === undefined) {
      this.#registry.addTombstone(event.name, event.now);
      return [];
    }
    return this.#stop(record, 'cancelled', event.now);
  }

  /** Stops an attempt that was cancelled or has reached its deadline, and cancels its upstream request. */
  #stop(record: AttemptRecord, code: ResultCodeName, now: Milliseconds): readonly AttemptEffect[] {
    if (record.isFinished) {
      return [];
    }
    if (record.stage !== 'running') {
      return this.#refuseAdmitted(record, 'deadlineBeforeStart', 0, now);
    }
    return [{ type: 'cancelUpstream', key: record.key }, ...this.#end(record, code, now)];
  }

  #removeSubscriber(event: EventOf<'subscriberGone'>): readonly AttemptEffect[] {
    this.#outbox.removeSubscriber(event.subscriber);
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
        const retryAfter = admission.estimateRetryAfter();
        effects.push(...this.#refuseQueued(key, 'overloaded', retryAfter, now));
      }
      effects.push(...this.#startNext(group, now));
    }
    for (const record of this.#registry.unfinished) {
      effects.push(...this.#checkUnfinished(record, now));
    }
    this.#registry.expire(now);
    return effects;
  }

  #refuseQueued(
    key: AttemptKey,
    code: ResultCodeName,
    retryAfter: Milliseconds,
    now: Milliseconds,
  ): readonly AttemptEffect[] {
    const record = this.#registry.find(key);
    return record === undefined ? [] : this.#refuseAdmitted(record, code, retryAfter, now);
  }

  /** Stops an attempt past its deadline or without a subscriber for too long; otherwise sends a keep-alive when due. */
  #checkUnfinished(record: AttemptRecord, now: Milliseconds): readonly AttemptEffect[] {
    const { subscriber, detachedAt } = record;
    if (now >= record.deadline) {
      return this.#stop(record, 'deadlineAfterStart', now);
    }
    if (subscriber === undefined) {
      const isAbandoned = now - (detachedAt ?? now) >= this.#limits.detachedGrace;
      return isAbandoned ? this.#stop(record, 'cancelled', now) : [];
    }
    if (!this.#outbox.isIdle(subscriber, now, this.#limits.keepAliveInterval)) {
      return [];
    }
    const load = this.#admissions.readLoad(record.order.group);
    return this.#outbox.send(record, { type: 'keepAlive', load }, now);
  }

  #startNext(group: GroupName, now: Milliseconds): readonly AttemptEffect[] {
    if (this.#pause.remaining(now) > 0) {
      return [];
    }
    const started = this.#admissions.forGroup(group).startNext(now);
    return started.flatMap((key) => {
      const record = this.#registry.find(key);
      return record === undefined ? [] : this.#startConfirmation(record, now);
    });
  }

  /** Refuses an attempt that was admitted but not yet passed to the upstream. */
  #refuseAdmitted(
    record: AttemptRecord,
    code: ResultCodeName,
    retryAfter: Milliseconds,
    now: Milliseconds,
  ): readonly AttemptEffect[] {
    if (!record.transition('refuse', now, code)) {
      return [];
    }
    const admission = this.#admissions.forGroup(record.order.group);
    admission.release(record.key, now, false);
    return [
      { type: 'dropRequest', key: record.key },
      ...this.#outbox.send(record, this.#createRefusal(code, admission.load, retryAfter), now),
      ...this.#finish(record, now),
      ...this.#startNext(record.order.group, now),
    ];
  }

  #createRefusal(code: ResultCodeName, load: Load, retryAfter: Milliseconds): AttemptMessage {
    const configurationRevision = this.#revision;
    return { type: 'refused', refusal: { code, load, retryAfter, configurationRevision } };
  }

  #finish(record: AttemptRecord, now: Milliseconds): readonly AttemptEffect[] {
    const closed = this.#outbox.close(record.subscriber);
    this.#registry.markFinished(record, now);
    this.#registry.detach(record, now);
    return closed;
  }

  #findRunning(key: AttemptKey): AttemptRecord | undefined {
    const record = this.#registry.find(key);
    return record?.stage === 'running' ? record : undefined;
  }
}
