import type { Milliseconds, WallTime } from '../../common/index.js';
import type { AttemptName, AttemptState, Incarnation } from '../../model/index.js';
import { formatAttemptName } from '../../model/index.js';
import type { AttemptRecord } from './attempt-record.js';
import type { AttemptKey, SubscriberId } from './messages.js';
import { readRequestTime } from './request-identifier.js';

/** Limits on the attempt history that a sidecar retains. */
export interface RegistryLimits {
  /** How long outcomes and tombstones are retained; longer than any request may take. */
  readonly retention: Milliseconds;
  /** How far a gateway's wall clock may be ahead of this one. */
  readonly maximumClockLead: Milliseconds;
  /** How long a gateway can still resume the stream of a finished response. */
  readonly resumeWindow: Milliseconds;
  /** Memory limit: number of retained outcomes and tombstones; the oldest are evicted first. */
  readonly maximumRetained: number;
  /** Memory limit: bytes of finished responses kept for resuming; the oldest are discarded first. */
  readonly maximumEndedBytes: number;
}

/** Sized for the specified load: 23 attempts per second accumulate about 17,000 outcomes. */
export const defaultRegistryLimits: RegistryLimits = {
  retention: 12 * 60_000,
  maximumClockLead: 60_000,
  resumeWindow: 30_000,
  maximumRetained: 100_000,
  maximumEndedBytes: 32 * 1024 * 1024,
};

/** How the registry classifies an attempt that has just arrived. */
export type ArrivalStatus = 'new' | 'known' | 'tombstoned' | 'tooOld';

/** A tombstone (without a record) or a finished attempt. */
interface RetainedEntry {
  readonly record: AttemptRecord | undefined;
  readonly since: Milliseconds;
  readonly requestTime: WallTime;
}

/**
 * Tracks the attempts that this sidecar has seen, so that none starts twice and none starts after it was reported as
 * not run.
 *
 * The failure this prevents: a gateway's connection goes silent while the attempt is still in a buffer. The gateway
 * queries the attempt's state, gets "never seen" and sends the request elsewhere. Then the buffer drains and the
 * request runs twice. The query therefore leaves a tombstone, and the late copy is refused.
 *
 * Eviction: each evicted entry, whether by age or by the memory limit, raises a watermark to the wall time at which its
 * request was created. An unknown attempt whose request is not newer than the watermark is refused. So a message that
 * arrives after its tombstone was evicted cannot start either, regardless of its delay and of clock differences.
 */
export class AttemptRegistry {
  readonly #incarnation: Incarnation;
  readonly #limits: RegistryLimits;
  readonly #live = new Map<AttemptKey, AttemptRecord>();
  /** Oldest first. */
  readonly #retained = new Map<AttemptKey, RetainedEntry>();
  /** Finished attempts whose response bytes are still buffered, oldest first. */
  readonly #resumable = new Set<AttemptRecord>();
  readonly #bySubscriber = new Map<SubscriberId, AttemptRecord>();
  #endedBytes = 0;
  #watermark: WallTime = Number.NEGATIVE_INFINITY;

  constructor(incarnation: Incarnation, limits: RegistryLimits) {
    this.#incarnation = incarnation;
    this.#limits = limits;
  }

  /** Attempts that are queued, being confirmed or running. */
  get unfinished(): Iterable<AttemptRecord> {
    return this.#live.values();
  }

  /** Number of unfinished attempts. */
  get unfinishedCount(): number {
    return this.#live.size;
  }

  /** Classifies an attempt that has just arrived. */
  classifyArrival(name: AttemptName, wallNow: WallTime): ArrivalStatus {
    const key = formatAttemptName(name);
    const entry = this.#retained.get(key);
    if (entry !== undefined && entry.record === undefined) {
      return 'tombstoned';
    }
    if (entry !== undefined || this.#live.has(key)) {
      return 'known';
    }
    const createdAt = readRequestTime(name.requestId);
    const isInWindow =
      createdAt !== undefined &&
      createdAt > this.#watermark &&
      createdAt <= wallNow + this.#limits.maximumClockLead;
    return isInWindow ? 'new' : 'tooOld';
  }

  add(record: AttemptRecord): void {
    this.#live.set(record.key, record);
    if (record.subscriber !== undefined) {
      this.#bySubscriber.set(record.subscriber, record);
    }
  }

  find(key: AttemptKey): AttemptRecord | undefined {
    return this.#live.get(key) ?? this.#retained.get(key)?.record;
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

  /** Reports the state of an attempt to a gateway. The result "never seen" leaves a tombstone. */
  queryState(name: AttemptName, now: Milliseconds): AttemptState {
    if (name.incarnation !== this.#incarnation) {
      return { type: 'otherIncarnation' };
    }
    const record = this.find(formatAttemptName(name));
    if (record !== undefined) {
      return record.toState();
    }
    this.addTombstone(name, now);
    return { type: 'neverSeen' };
  }

  /**
   * Adds a tombstone for an attempt that is not known yet, so that it never runs here. Attempts for another incarnation
   * need none, because they are always refused.
   */
  addTombstone(name: AttemptName, now: Milliseconds): void {
    const key = formatAttemptName(name);
    const isCurrentIncarnation = name.incarnation === this.#incarnation;
    if (isCurrentIncarnation && !this.#live.has(key) && !this.#retained.has(key)) {
      this.#retain(key, undefined, name, now);
    }
  }

  /** Moves a finished attempt to the retained entries; later calls for the same record have no effect. */
  markFinished(record: AttemptRecord, now: Milliseconds): void {
    if (!this.#live.delete(record.key)) {
      return;
    }
    this.#retain(record.key, record, record.name, now);
    this.#resumable.add(record);
    this.#endedBytes += record.buffer.size;
    this.#enforceByteLimit();
  }

  /** Discards response bytes and entries that have exceeded their retention time. */
  expire(now: Milliseconds): void {
    for (const record of this.#resumable) {
      if (now - record.changedAt < this.#limits.resumeWindow) {
        break;
      }
      this.#discardBytes(record);
    }
    for (const [key, entry] of this.#retained) {
      if (now - entry.since < this.#limits.retention) {
        break;
      }
      this.#evict(key, entry);
    }
  }

  #retain(
    key: AttemptKey,
    record: AttemptRecord | undefined,
    name: AttemptName,
    now: Milliseconds,
  ): void {
    const requestTime = readRequestTime(name.requestId) ?? Number.NEGATIVE_INFINITY;
    this.#retained.set(key, { record, since: now, requestTime });
    if (this.#retained.size <= this.#limits.maximumRetained) {
      return;
    }
    for (const [oldestKey, oldest] of this.#retained) {
      this.#evict(oldestKey, oldest);
      return;
    }
  }

  #evict(key: AttemptKey, entry: RetainedEntry): void {
    this.#retained.delete(key);
    this.#watermark = Math.max(this.#watermark, entry.requestTime);
    if (entry.record !== undefined) {
      this.#discardBytes(entry.record);
    }
  }

  #enforceByteLimit(): void {
    for (const record of this.#resumable) {
      if (this.#endedBytes <= this.#limits.maximumEndedBytes) {
        return;
      }
      this.#discardBytes(record);
    }
  }

  #discardBytes(record: AttemptRecord): void {
    if (this.#resumable.delete(record)) {
      this.#endedBytes -= record.buffer.size;
      record.buffer.clear();
    }
  }
}
