import type { Milliseconds } from '../common/index.js';

/**
 * Rounds in which a lead asks all members right before attempts go to the engine.
 * A lease alone lets a silent loss go unnoticed until it runs out; a confirmed attempt was vouched for by every
 * member after it came in.
 */

/** The answer for the attempts of one round. */
export interface SettledRound {
  readonly tokens: readonly string[];
  readonly isConfirmed: boolean;
}

interface Round {
  readonly tokens: readonly string[];
  readonly sentAt: Milliseconds;
  readonly deadline: Milliseconds;
}

/** Collects attempts that want a confirmation into rounds: one open to join, one under way. */
export class ConfirmationRounds {
  readonly #batch: Milliseconds;
  readonly #timeout: Milliseconds;
  #waiting: readonly string[] = [];
  #sendAt: Milliseconds = Infinity;
  #underWay: Round | undefined;

  constructor(batch: Milliseconds, timeout: Milliseconds) {
    this.#batch = batch;
    this.#timeout = timeout;
  }

  /** When this has something to do. */
  get wakeAt(): Milliseconds {
    return this.#underWay?.deadline ?? this.#sendAt;
  }

  /** Joins the open round; one under way may already have passed a member that died since. */
  join(token: string, now: Milliseconds): void {
    this.#waiting = [...this.#waiting, token];
    this.#sendAt = Math.min(this.#sendAt, now + this.#batch);
  }

  /** Whether the open round is to be sent now. */
  isDue(now: Milliseconds): boolean {
    return this.#underWay === undefined && now >= this.#sendAt;
  }

  /** All members are asked now, for whatever reason: the open round rides along. */
  noteAsked(now: Milliseconds): void {
    if (this.#underWay !== undefined || this.#waiting.length === 0) {
      return;
    }
    this.#underWay = { tokens: this.#waiting, sentAt: now, deadline: now + this.#timeout };
    this.#waiting = [];
    this.#sendAt = Infinity;
  }

  /** Ends the round under way once each member granted a question sent since its start, or its time is over. */
  settle(now: Milliseconds, confirmedSince: Milliseconds): SettledRound | undefined {
    const round = this.#underWay;
    if (round === undefined) {
      return undefined;
    }
    const isConfirmed = confirmedSince >= round.sentAt;
    if (!isConfirmed && now < round.deadline) {
      return undefined;
    }
    this.#underWay = undefined;
    return { tokens: round.tokens, isConfirmed };
  }

  /** Gives up everything; returns the tokens that will not be confirmed. */
  abandon(): readonly string[] {
    const tokens = [...(this.#underWay?.tokens ?? []), ...this.#waiting];
    this.#underWay = undefined;
    this.#waiting = [];
    this.#sendAt = Infinity;
    return tokens;
  }
}
