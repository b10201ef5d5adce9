import type { Milliseconds, WallTime } from '../../common/index.js';
import type { AttemptName, AttemptState, Incarnation } from '../../model/index.js';
import { formatAttemptName } from '../../model/index.js';
import type { AttemptRecord } from './attempt-record.js';
import type { AttemptKey, SubscriberId } from './messages.js';
import { readRequestTime } from './request-identifier.js';

/** Bounds on what a sidecar remembers of attempts. */
export interface RegistryLimits {
  /** How long the outcome of an attempt or a tombstone stays; longer than any request may take. */
  readonly memory: Milliseconds;
  /** How far a gateway's wall clock may be ahead. */
  readonly maximumClockLead: Milliseconds;
  /** How long the bytes of an ended answer can still be taken up again. */
  readonly resumeWindow: Milliseconds;
  /** Memory bound: outcomes and tombstones remembered; the oldest are forgotten first. */
  readonly maximumRemembered: number;
  /** Memory bound: bytes of ended answers kept for taking them up again; the oldest go first. */
  readonly maximumEndedBytes: number;
}

/** Bounds for the sizes of letter 1: 23 attempts a second leave some 17,000 outcomes. */
export const defaultRegistryLimits: RegistryLimits = {
  memory: 12 * 60_000,
  maximumClockLead: 60_000,
  resumeWindow: 30_000,
  maximumRemembered: 100_000,
  maximumEndedBytes: 32 * 1024 * 1024,
};

/** What the registry knows of a newly arrived attempt. */
export type ArrivalVerdict = 'new' | 'known' | 'tombstoned' | 'tooOld';

/** A tombstone, or an attempt that is over. */
interface Remembered {
  readonly record: AttemptRecord | undefined;
  readonly since: Milliseconds;
  readonly requestTime: WallTime;
}

/**
 * Which attempts this sidecar has seen, so that none starts twice and none starts that was declared not run.
 *
 * What goes wrong without it: a gateway's connection goes silent with the attempt still in some buffer; the gateway
 * asks after it, hears "never seen", and sends the request elsewhere; then the buffer drains and the request runs twice.
 * The tombstone left by the question refuses the late copy.
 *
 * Expiry: whatever is forgotten, by age or because memory is full, raises a watermark to the wall time at which its
 * request was made. An unknown attempt whose request is not younger than the watermark is refused, so a message that
 * comes after its tombstone was forgotten cannot start either, however late it is and whatever the clocks say.
 */
export class AttemptRegistry {
  readonly #incarnation: Incarnation;
  readonly #limits: RegistryLimits;
  readonly #live = new Map<AttemptKey, AttemptRecord>();
  /** Oldest first. */
  readonly #remembered = new Map<AttemptKey, Remembered>();
  /** Ended attempts whose bytes are still held, oldest first. */
  readonly #resumable = new Set<AttemptRecord>();
  readonly #bySubscriber = new Map<SubscriberId, AttemptRecord>();
  #endedBytes = 0;
  #watermark: WallTime = Number.NEGATIVE_INFINITY;

  constructor(incarnation: Incarnation, limits: RegistryLimits) {
    this.#incarnation = incarnation;
    this.#limits = limits;
  }

  /** Attempts that are not over. */
  get unfinished(): Iterable<AttemptRecord> {
    return this.#live.values();
  }

  /** Number of attempts that are not over. */
  get unfinishedCount(): number {
    return this.#live.size;
  }

  /** Judges an attempt that has just come. */
  judge(name: AttemptName, wallNow: WallTime): ArrivalVerdict {
    const key = formatAttemptName(name);
    const remembered = this.#remembered.get(key);
    if (remembered !== undefined && remembered.record === undefined) {
      return 'tombstoned';
    }
    if (remembered !== undefined || this.#live.has(key)) {
      return 'known';
    }
    const madeAt = readRequestTime(name.requestId);
    const isJudged =
      madeAt !== undefined &&
      madeAt > this.#watermark &&
      madeAt <= wallNow + this.#limits.maximumClockLead;
    return isJudged ? 'new' : 'tooOld';
  }

  add(record: AttemptRecord): void {
    this.#live.set(record.key, record);
    if (record.subscriber !== undefined) {
      this.#bySubscriber.set(record.subscriber, record);
    }
  }

  find(key: AttemptKey): AttemptRecord | undefined {
    return this.#live.get(key) ?? this.#remembered.get(key)?.record;
  }

  findBySubscriber(subscriber: SubscriberId): AttemptRecord | undefined {
    return this.#bySubscriber.get(subscriber);
  }

  attach(record: AttemptRecord, subscriber: SubscriberId, now: Milliseconds): void {
    this.detach(record, now);
    record.attach(subscriber);
    this.#bySubscriber.set(subscriber, record);
  }

  detach(record: AttemptRecord, now: Milliseconds): void {
    if (record.subscriber !== undefined) {
      this.#bySubscriber.delete(record.subscriber);
    }
    record.detach(now);
  }

  /** Answers a gateway that asks after an attempt; "never seen" leaves a tombstone. */
  ask(name: AttemptName, now: Milliseconds): AttemptState {
    if (name.incarnation !== this.#incarnation) {
      return { type: 'otherIncarnation' };
    }
    const record = this.find(formatAttemptName(name));
    if (record !== undefined) {
      return record.describe();
    }
    this.bury(name, now);
    return { type: 'neverSeen' };
  }

  /** Leaves a tombstone: an attempt that is not known now will never run here. One for another incarnation never would. */
  bury(name: AttemptName, now: Milliseconds): void {
    const key = formatAttemptName(name);
    const isOurs = name.incarnation === this.#incarnation;
    if (isOurs && !this.#live.has(key) && !this.#remembered.has(key)) {
      this.#remember(key, undefined, name, now);
    }
  }

  /** Called once for a record that is over. */
  noteOver(record: AttemptRecord, now: Milliseconds): void {
    if (!this.#live.delete(record.key)) {
      return;
    }
    this.#remember(record.key, record, record.name, now);
    this.#resumable.add(record);
    this.#endedBytes += record.buffer.size;
    this.#boundBytes();
  }

  /** Forgets what is older than the limits say. */
  expire(now: Milliseconds): void {
    for (const record of this.#resumable) {
      if (now - record.changedAt < this.#limits.resumeWindow) {
        break;
      }
      this.#dropBytes(record);
    }
    for (const [key, remembered] of this.#remembered) {
      if (now - remembered.since < this.#limits.memory) {
        break;
      }
      this.#forget(key, remembered);
    }
  }

  #remember(
    key: AttemptKey,
    record: AttemptRecord | undefined,
    name: AttemptName,
    now: Milliseconds,
  ): void {
    const requestTime = readRequestTime(name.requestId) ?? Number.NEGATIVE_INFINITY;
    this.#remembered.set(key, { record, since: now, requestTime });
    if (this.#remembered.size <= this.#limits.maximumRemembered) {
      return;
    }
    for (const [oldestKey, oldest] of this.#remembered) {
      this.#forget(oldestKey, oldest);
      return;
    }
  }

  #forget(key: AttemptKey, remembered: Remembered): void {
    this.#remembered.delete(key);
    this.#watermark = Math.max(this.#watermark, remembered.requestTime);
    if (remembered.record !== undefined) {
      this.#dropBytes(remembered.record);
    }
  }

  #boundBytes(): void {
    for (const record of this.#resumable) {
      if (this.#endedBytes <= this.#limits.maximumEndedBytes) {
        return;
      }
      this.#dropBytes(record);
    }
  }

  #dropBytes(record: AttemptRecord): void {
    if (this.#resumable.delete(record)) {
      this.#endedBytes -= record.buffer.size;
      record.buffer.clear();
    }
  }
}
