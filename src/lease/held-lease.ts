import type { Milliseconds } from '../common/index.js';
import type { GroupMember, Incarnation } from '../model/index.js';

/** Share of a lease after which a lead asks a member again that was refused or cut; doubles with each time in a row. */
const firstRetryShare = 1 / 20;
/** After so many the regular rounds are soon enough, and a member that loads for minutes is not asked in vain. */
const mostRetries = 3;

/** What a lead holds of one member. */
export class HeldLease {
  readonly member: GroupMember;
  /** Questions without an answer yet, by sequence, with when they left. */
  readonly #pending = new Map<number, Milliseconds>();
  #sequence = 0;
  /** Highest sequence whose answer counted; an older answer says nothing of the present. */
  #lastAnswered = 0;
  #until: Milliseconds = -Infinity;
  #confirmedSentAt: Milliseconds = -Infinity;
  #incarnation: Incarnation | undefined;
  #retryAt: Milliseconds = Infinity;
  #retries = 0;

  constructor(member: GroupMember) {
    this.member = member;
  }

  /** End of the lease on the lead's clock. */
  get until(): Milliseconds {
    return this.#until;
  }

  /** When the last question that was granted left. */
  get confirmedSentAt(): Milliseconds {
    return this.#confirmedSentAt;
  }

  /** When to ask again out of turn. */
  get retryAt(): Milliseconds {
    return this.#retryAt;
  }

  /**
   * Records a question that leaves now and returns its sequence.
   * Sequences start at the clock's milliseconds, which grow faster than questions are asked: a lead that is set up
   * again within one start of the sidecar must not be taken for one that its former self released.
   */
  noteAsked(now: Milliseconds, duration: Milliseconds): number {
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

  /** Records a grant and returns when its question left; undefined for one that does not count. */
  noteGranted(sequence: number, incarnation: Incarnation): Milliseconds | undefined {
    const sentAt = this.#pending.get(sequence);
    if (sentAt === undefined || sequence <= this.#lastAnswered) {
      return undefined;
    }
    if (this.#incarnation !== incarnation) {
      this.#incarnation = incarnation;
      this.#until = -Infinity;
    }
    this.#pending.delete(sequence);
    this.#lastAnswered = sequence;
    this.#confirmedSentAt = sentAt;
    this.#retries = 0;
    return sentAt;
  }

  /** Moves the end of the lease; it never moves back by an answer that was long on its way. */
  extend(until: Milliseconds): void {
    this.#until = Math.max(this.#until, until);
  }

  /** Records a refusal, which ends the lease at once; false for one older than the last answer. */
  noteRefused(sequence: number, now: Milliseconds, duration: Milliseconds): boolean {
    if (sequence < this.#lastAnswered) {
      return false;
    }
    this.#lastAnswered = sequence;
    this.#end();
    this.#retry(now, duration);
    return true;
  }

  /** Ends the lease: whatever was asked before says nothing any more. */
  noteClosed(now: Milliseconds, duration: Milliseconds): void {
    this.#lastAnswered = this.#sequence;
    this.#end();
    this.#retry(now, duration);
  }

  #retry(now: Milliseconds, duration: Milliseconds): void {
    if (this.#retries < mostRetries) {
      this.#retryAt = now + duration * firstRetryShare * 2 ** this.#retries;
      this.#retries += 1;
    }
  }

  #end(): void {
    this.#until = -Infinity;
    this.#confirmedSentAt = -Infinity;
  }
}
