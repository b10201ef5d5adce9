import type { Milliseconds, WallTime } from '../../common/index.js';
import type { AttemptName, AttemptState, Incarnation } from '../../model/index.js';
import { formatAttemptName } from '../../model/index.js';
import type { AttemptRecord } from './attempt-record.js';
import type { AttemptKey, SubscriberId } from './messages.js';
import { readRequestTime } from './request-identifier.js';

/** Bounds on what a sidecar remembers of attempts. */
export interface RegistryLimits {
  /**
   * An attempt whose request is older than this, by wall clocks, is refused.
   * It must be longer than the longest time a gateway gives a request.
   */
  readonly maximumRequestAge: Milliseconds;
  /** How far the wall clocks of gateway and sidecar may differ. */
  readonly maximumClockSkew: Milliseconds;
  /** How long the bytes of an ended answer can still be taken up again. */
  readonly resumeWindow: Milliseconds;
  /** Memory bound: attempts and tombstones remembered; new attempts are refused beyond it. */
  readonly maximumRecords: number;
  /** Memory bound: bytes of ended answers kept for taking them up again; the oldest go first. */
  readonly maximumEndedBytes: number;
}

/** Bounds for the sizes of letter 1: 23 attempts a second leave some 18,000 records. */
export const defaultRegistryLimits: RegistryLimits = {
  maximumRequestAge: 10 * 60_000,
  maximumClockSkew: 60_000,
  resumeWindow: 30_000,
  maximumRecords: 100_000,
  maximumEndedBytes: 32 * 1024 * 1024,
};

/**
 * How long the outcome of an attempt or a tombstone stays: longer than any message that is not refused for its age can
 * be under way. The rule: `maximumRequestAge` (the last moment at which the attempt would be let in, by the sidecar's
 * clock) plus twice the clock skew (made early by a slow clock, judged late by a fast one).
 */
export function memoryDuration(limits: RegistryLimits): Milliseconds {
  return limits.maximumRequestAge + 2 * limits.maximumClockSkew;
}

/** What the registry knows of a newly arrived attempt. */
export type ArrivalVerdict =
  | { readonly type: 'new' }
  | { readonly type: 'known' }
  | { readonly type: 'tombstoned' }
  | { readonly type: 'tooOld' }
  | { readonly type: 'full' };

/**
 * Which attempts this sidecar has seen, so that none starts twice and none starts that was declared not run.
 *
 * What goes wrong without it: a gateway's connection goes silent with the attempt still in some buffer; the gateway
 * asks after it, hears "never seen", and sends the request elsewhere; then the buffer drains and the request runs twice.
 * The tombstone left by the question refuses the late copy.
 */
export class AttemptRegistry {
  readonly #incarnation: Incarnation;
  readonly #limits: RegistryLimits;
  readonly #records = new Map<AttemptKey, AttemptRecord>();
  /** Monotonic time of the question that made each tombstone; oldest first. */
  readonly #tombstones = new Map<AttemptKey, Milliseconds>();
  /** Records that are over, oldest first. */
  readonly #over = new Set<AttemptRecord>();
  readonly #bySubscriber = new Map<SubscriberId, AttemptRecord>();
  #endedBytes = 0;

  constructor(incarnation: Incarnation, limits: RegistryLimits) {
    this.#incarnation = incarnation;
    this.#limits = limits;
  }

  /** Number of attempts and tombstones remembered. */
  get size(): number {
    return this.#records.size + this.#tombstones.size;
  }

  /** Bytes of ended answers held. */
  get endedBytes(): number {
    return this.#endedBytes;
  }

  /** Attempts that are not over. */
  get unfinished(): readonly AttemptRecord[] {
    return [...this.#records.values()].filter((record) => !record.isOver);
  }

  /** Number of attempts that are not over. */
  get unfinishedCount(): number {
    return this.#records.size - this.#over.size;
  }

  /** Judges an attempt that has just come. */
  judge(name: AttemptName, wallNow: WallTime): ArrivalVerdict {
    const key = formatAttemptName(name);
    if (this.#tombstones.has(key)) {
      return { type: 'tombstoned' };
    }
    if (this.#records.has(key)) {
      return { type: 'known' };
    }
    if (!this.#isYoung(name, wallNow)) {
      return { type: 'tooOld' };
    }
    return this.size >= this.#limits.maximumRecords ? { type: 'full' } : { type: 'new' };
  }

  add(record: AttemptRecord): void {
    this.#records.set(record.key, record);
    if (record.subscriber !== undefined) {
      this.#bySubscriber.set(record.subscriber, record);
    }
  }

  find(key: AttemptKey): AttemptRecord | undefined {
    return this.#records.get(key);
  }

  findBySubscriber(subscriber: SubscriberId): AttemptRecord | undefined {
    return this.#bySubscriber.get(subscriber);
  }

  attach(record: AttemptRecord, subscriber: SubscriberId): void {
    this.detach(record, 0);
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
    const key = formatAttemptName(name);
    const record = this.#records.get(key);
    if (record !== undefined) {
      return record.describe();
    }
    this.#tombstones.delete(key);
    this.#tombstones.set(key, now);
    return { type: 'neverSeen' };
  }

  /** Called once for a record that is over. */
  noteOver(record: AttemptRecord): void {
    if (!this.#over.has(record)) {
      this.#over.add(record);
      this.#endedBytes += record.buffer.size;
      this.#boundBytes();
    }
  }

  /** Forgets what is older than the rule says. */
  expire(now: Milliseconds): void {
    const duration = memoryDuration(this.#limits);
    for (const [key, at] of this.#tombstones) {
      if (now - at < duration) {
        break;
      }
      this.#tombstones.delete(key);
    }
    for (const record of this.#over) {
      const age = now - record.changedAt;
      if (age < this.#limits.resumeWindow) {
        break;
      }
      this.#dropBytes(record);
      if (age >= duration) {
        this.#over.delete(record);
        this.#records.delete(record.key);
      }
    }
  }

  #isYoung(name: AttemptName, wallNow: WallTime): boolean {
    const madeAt = readRequestTime(name.requestId);
    if (madeAt === undefined) {
      return false;
    }
    const age = wallNow - madeAt;
    return age >= -this.#limits.maximumClockSkew && age <= this.#limits.maximumRequestAge;
  }

  #boundBytes(): void {
    for (const record of this.#over) {
      if (this.#endedBytes <= this.#limits.maximumEndedBytes) {
        return;
      }
      this.#dropBytes(record);
    }
  }

  #dropBytes(record: AttemptRecord): void {
    this.#endedBytes -= record.buffer.size;
    record.buffer.clear();
  }
}
