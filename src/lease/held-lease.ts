import type { Milliseconds } from '../common/index.js';
import type { GroupMember, Incarnation } from '../model/index.js';

/** Delay of the first retry after a refusal or a closed connection, as a share of the lease; doubles with each consecutive failure. */
const firstRetryShare = 1 / 20;
/** After this many retries the regular rounds suffice; more would be wasted on a member that loads for minutes. */
const maxRetries = 3;

/** A lead's record of the lease of one member. */
export class HeldLease {
  readonly member: GroupMember;
  /** Send times of unanswered questions, by sequence. */
  readonly #pending = new Map<number, Milliseconds>();
  #sequence = 0;
  /** Highest sequence whose answer was accepted; answers to older questions are outdated and ignored. */
  #lastAnswered = 0;
  #expiresAt: Milliseconds = -Infinity;
  #confirmedSentAt: Milliseconds = -Infinity;
  #incarnation: Incarnation | undefined;
  #retryAt: Milliseconds = Infinity;
  #retries = 0;

  constructor(member: GroupMember) {
    this.member = member;
  }

  /** Expiry of the lease on the lead's clock. */
  get expiresAt(): Milliseconds {
    return this.#expiresAt;
  }

  /** Send time of the last question that was granted. */
  get confirmedSentAt(): Milliseconds {
    return this.#confirmedSentAt;
  }

  /** When to retry ahead of the next regular round. */
  get retryAt(): Milliseconds {
    return this.#retryAt;
  }

  /**
   * Records a question sent now and returns its sequence.
   * Sequences start at the clock's milliseconds, which grow faster than questions are sent. So a lead that is created
   * again within one incarnation of the sidecar uses higher sequences than the release of its predecessor, and the
   * member does not take its questions for ones sent before that release.
   */
  recordQuestion(now: Milliseconds, duration: Milliseconds): number {
    for (const [sequence, sentAt] of this.#pending) {
      if (sentAt + duration <= now) {
        this.#pending.delete(sequence);
      }
    }
    this.#sequence = Math.max(this.#sequence + 1, Math.floor(now));
    this.#pending.set(this.#sequence, now);
    this.#retryAt = Infinity;
    return this.#sequence;
  }

  /** Records a grant and returns the send time of its question; undefined if the grant is outdated. */
  recordGrant(sequence: number, incarnation: Incarnation): Milliseconds | undefined {
    const sentAt = this.#pending.get(sequence);
    if (sentAt === undefined || sequence <= this.#lastAnswered) {
      return undefined;
    }
    if (this.#incarnation !== incarnation) {
      this.#incarnation = incarnation;
      this.#expiresAt = -Infinity;
    }
    this.#pending.delete(sequence);
    this.#lastAnswered = sequence;
    this.#confirmedSentAt = sentAt;
    this.#retries = 0;
    return sentAt;
  }

  /** Extends the lease; a delayed answer never shortens it. */
  extend(until: Milliseconds): void {
    this.#expiresAt = Math.max(this.#expiresAt, until);
  }

  /** Records a refusal, which ends the lease at once; returns false if it is older than the last accepted answer. */
  recordRefusal(sequence: number, now: Milliseconds, duration: Milliseconds): boolean {
    if (sequence < this.#lastAnswered) {
      return false;
    }
    this.#lastAnswered = sequence;
    this.#end();
    this.#scheduleRetry(now, duration);
    return true;
  }

  /** Ends the lease after a closed connection; answers to earlier questions are ignored. */
  recordDisconnect(now: Milliseconds, duration: Milliseconds): void {
    this.#lastAnswered = this.#sequence;
    this.#end();
    this.#scheduleRetry(now, duration);
  }

  #scheduleRetry(now: Milliseconds, duration: Milliseconds): void {
    if (this.#retries < maxRetries) {
      this.#retryAt = now + duration * firstRetryShare * 2 ** this.#retries;
      this.#retries += 1;
    }
  }

  #end(): void {
    this.#expiresAt = -Infinity;
    this.#confirmedSentAt = -Infinity;
  }
}
