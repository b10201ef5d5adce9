import type { Milliseconds } from '../common/index.js';

/**
 * Confirmation rounds: a lead asks all members again right before attempts go to the engine.
 * With leases alone, the silent loss of a member goes unnoticed until its lease expires. For a confirmed attempt,
 * every member has granted a question that was sent after the attempt arrived.
 */

/** Result of one round, for all its attempts. */
export interface SettledRound {
  readonly tokens: readonly string[];
  readonly isConfirmed: boolean;
}

interface Round {
  readonly tokens: readonly string[];
  readonly sentAt: Milliseconds;
  readonly deadline: Milliseconds;
}

/** Batches attempts into confirmation rounds: one round collects attempts while at most one is in progress. */
export class ConfirmationRounds {
  readonly #batchDelay: Milliseconds;
  readonly #timeout: Milliseconds;
  #waiting: readonly string[] = [];
  #sendAt: Milliseconds = Infinity;
  #activeRound: Round | undefined;

  constructor(batch: Milliseconds, timeout: Milliseconds) {
    this.#batchDelay = batch;
    this.#timeout = timeout;
  }

  /** Time at which the next round is due or the active one times out. */
  get wakeAt(): Milliseconds {
    return this.#activeRound?.deadline ?? this.#sendAt;
  }

  /** Adds an attempt to the open round, not to the active one, whose answers may predate the failure of a member. */
  join(token: string, now: Milliseconds): void {
    this.#waiting = [...this.#waiting, token];
    this.#sendAt = Math.min(this.#sendAt, now + this.#batchDelay);
  }

  /** Whether the open round is due to be sent. */
  isDue(now: Milliseconds): boolean {
    return this.#activeRound === undefined && now >= this.#sendAt;
  }

  /** Records that questions are being sent to all members, for whatever reason; starts the open round with them. */
  recordQuestionsSent(now: Milliseconds): void {
    if (this.#activeRound !== undefined || this.#waiting.length === 0) {
      return;
    }
    this.#activeRound = { tokens: this.#waiting, sentAt: now, deadline: now + this.#timeout };
    this.#waiting = [];
    this.#sendAt = Infinity;
  }

  /** Ends the active round once every member has granted a question sent since its start, or once it times out. */
  settle(now: Milliseconds, confirmedSince: Milliseconds): SettledRound | undefined {
    const round = this.#activeRound;
    if (round === undefined) {
      return undefined;
    }
    const isConfirmed = confirmedSince >= round.sentAt;
    if (!isConfirmed && now < round.deadline) {
      return undefined;
    }
    this.#activeRound = undefined;
    return { tokens: round.tokens, isConfirmed };
  }

  /** Cancels all rounds and returns the tokens that will not be confirmed. */
  abandon(): readonly string[] {
    const tokens = [...(this.#activeRound?.tokens ?? []), ...this.#waiting];
    this.#activeRound = undefined;
    this.#waiting = [];
    this.#sendAt = Infinity;
    return tokens;
  }
}
