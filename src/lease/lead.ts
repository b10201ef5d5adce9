import {
  assertNever,
  type Controller,
  type Milliseconds,
  type ResultCodeName,
} from '../common/index.js';
import {
  findLead,
  type Group,
  type GroupHealth,
  type GroupMember,
  type HostName,
} from '../model/index.js';
import { ConfirmationRounds } from './confirmation.js';
import { HeldLease } from './held-lease.js';
import { driftMargin, type LeaseAnswer, type LeaseQuestion } from './messages.js';

/**
 * The lead's side of the group leases: one for each placement that this sidecar leads.
 * The group is whole while every member's lease is held; nothing else may admit an attempt.
 */

/** Questions a lead sends each member within one lease: three may be lost before the lease is. */
export const questionsPerLease = 4;

/** What a lead is set up with. */
export interface LeaseLeadOptions {
  readonly group: Group;
  /** Incarnation of the sidecar that leads. */
  readonly incarnation: string;
  readonly duration: Milliseconds;
  /** Collects confirmations that are asked for within this time into one round. */
  readonly confirmBatch: Milliseconds;
  /** A confirmation that has not come by then has failed. */
  readonly confirmTimeout: Milliseconds;
}

/** What a lead is told; `now` is a reading of its own monotonic clock. */
export type LeaseLeadEvent =
  | { readonly type: 'started'; readonly now: Milliseconds }
  /** The time of the last `wake` effect has come; a tick too many does no harm. */
  | { readonly type: 'ticked'; readonly now: Milliseconds }
  | { readonly type: 'answered'; readonly now: Milliseconds; readonly answer: LeaseAnswer }
  /** The connection to a member closed, or a question could not be delivered. */
  | { readonly type: 'connectionClosed'; readonly now: Milliseconds; readonly member: HostName }
  /** Control marked the group as draining. */
  | { readonly type: 'drainRequested'; readonly now: Milliseconds }
  /** Attempts that this lead has admitted and that have not ended. */
  | { readonly type: 'attemptsChanged'; readonly now: Milliseconds; readonly running: number }
  /** An attempt wants a round of confirmation before it goes to the engine. */
  | { readonly type: 'confirmRequested'; readonly now: Milliseconds; readonly token: string }
  /** The placement is over, or its drain is: hand the leases back. Nothing is admitted from here on. */
  | { readonly type: 'dissolved'; readonly now: Milliseconds };

/** What a lead wants done. */
export type LeaseLeadEffect =
  | { readonly type: 'ask'; readonly member: GroupMember; readonly question: LeaseQuestion }
  /** Replaces the timer of the last `wake`. */
  | { readonly type: 'wake'; readonly at: Milliseconds }
  /** Health as control should hear of it; also the signal that attempts may or may not be admitted. */
  | { readonly type: 'healthChanged'; readonly health: GroupHealth }
  /** The group drains because this member is being stopped. */
  | { readonly type: 'drainNoted'; readonly member: HostName }
  | { readonly type: 'confirmed'; readonly token: string; readonly isWhole: boolean }
  /** A member serves a newer placement: this one hands its leases back and is over. */
  | { readonly type: 'superseded'; readonly member: HostName };

type Phase = 'idle' | 'holding' | 'released';

/** Collects the leases of one placement's members. */
export class LeaseLead implements Controller<LeaseLeadEvent, LeaseLeadEffect> {
  readonly #options: LeaseLeadOptions;
  readonly #leases: ReadonlyMap<HostName, HeldLease>;
  readonly #confirmations: ConfirmationRounds;
  #phase: Phase = 'idle';
  #nextRound: Milliseconds = Infinity;
  #isDraining: boolean;
  /** Undefined from the start of a drain until attempts are counted again: an older count may miss one just admitted. */
  #running: number | undefined = 0;
  #health: GroupHealth;
  #drainedBy: HostName | undefined;

  constructor(options: LeaseLeadOptions) {
    this.#options = options;
    this.#leases = new Map(
      options.group.members.map((member) => [member.host, new HeldLease(member)]),
    );
    this.#confirmations = new ConfirmationRounds(options.confirmBatch, options.confirmTimeout);
    this.#isDraining = options.group.isDraining;
    this.#health = this.health(-Infinity);
  }

  /** Until when every lease is held, on the lead's clock; in the past when one is not. */
  wholeUntil(): Milliseconds {
    if (this.#phase !== 'holding') {
      return -Infinity;
    }
    return Math.min(...[...this.#leases.values()].map((lease) => lease.until));
  }

  /** Whether every member of the group vouches for it at this moment. */
  isWhole(now: Milliseconds): boolean {
    return now < this.wholeUntil();
  }

  /** The check where an attempt is handed to the engine; read the clock for it, never reuse an older reading. */
  admission(now: Milliseconds): Extract<ResultCodeName, 'ok' | 'draining' | 'notWhole'> {
    if (this.#isDraining) {
      return 'draining';
    }
    return this.isWhole(now) ? 'ok' : 'notWhole';
  }

  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** What the lead says of the group. */
  health(now: Milliseconds): GroupHealth {
    const missing = [...this.#leases.values()]
      .filter((lease) => this.#phase !== 'holding' || lease.until <= now)
      .map((lease) => lease.member.host);
    const { name, fencingNumber } = this.#options.group;
    return {
      group: name,
      fencingNumber,
      isServing: missing.length === 0 && !this.#isDraining,
      isDrained: this.#isDraining && this.#running === 0,
      missing,
    };
  }

  handle(event: LeaseLeadEvent): readonly LeaseLeadEffect[] {
    if (this.#phase === 'released') {
      return event.type === 'confirmRequested' ? [failConfirmation(event.token)] : [];
    }
    const effects = [...this.#decide(event), ...this.#settleConfirmations(event.now)];
    return [...effects, ...this.#noticeHealth(event.now), ...this.#wake()];
  }

  /**
   * End of a lease on the lead's clock.
   * Counted from when the question left, because the member counts from a later moment, and shortened by the
   * drift margin: the lead stops before the member does, however long question and answer were on their way.
   */
  protected leaseEnd(
    sentAt: Milliseconds,
    _now: Milliseconds,
    duration: Milliseconds,
  ): Milliseconds {
    return sentAt + duration * (1 - driftMargin);
  }

  #decide(event: LeaseLeadEvent): readonly LeaseLeadEffect[] {
    switch (event.type) {
      case 'started':
        this.#phase = 'holding';
        return this.#askAll(event.now);
      case 'ticked':
        return this.#tick(event.now);
      case 'answered':
        return this.#noteAnswer(event.answer, event.now);
      case 'connectionClosed':
        return this.#noteClosed(event.member, event.now);
      case 'drainRequested':
        this.#startDrain();
        return [];
      case 'attemptsChanged':
        this.#running = event.running;
        return [];
      case 'confirmRequested':
        this.#confirmations.join(event.token, event.now);
        return this.#confirmations.isDue(event.now) ? this.#askAll(event.now) : [];
      case 'dissolved':
        return this.#release(event.now);
      default:
        return assertNever(event);
    }
  }

  #tick(now: Milliseconds): readonly LeaseLeadEffect[] {
    if (now >= this.#nextRound || this.#confirmations.isDue(now)) {
      return this.#askAll(now);
    }
    return [...this.#leases.values()]
      .filter((lease) => lease.retryAt <= now)
      .map((lease) => this.#ask(lease, now));
  }

  #askAll(now: Milliseconds): readonly LeaseLeadEffect[] {
    this.#nextRound = now + this.#options.duration / questionsPerLease;
    this.#confirmations.noteAsked(now);
    return [...this.#leases.values()].map((lease) => this.#ask(lease, now));
  }

  #ask(lease: HeldLease, now: Milliseconds): LeaseLeadEffect {
    const sequence = lease.noteAsked(now, this.#options.duration);
    return { type: 'ask', member: lease.member, question: this.#question(lease, sequence, false) };
  }

  #question(lease: HeldLease, sequence: number, isRelease: boolean): LeaseQuestion {
    const { group, incarnation, duration } = this.#options;
    return {
      sequence,
      group: group.name,
      fencingNumber: group.fencingNumber,
      lead: findLead(group).host,
      leadIncarnation: incarnation,
      member: lease.member.host,
      duration,
      isRelease,
    };
  }

  #noteAnswer(answer: LeaseAnswer, now: Milliseconds): readonly LeaseLeadEffect[] {
    const lease = this.#leases.get(answer.member);
    if (lease === undefined || answer.fencingNumber !== this.#options.group.fencingNumber) {
      return [];
    }
    switch (answer.verdict.type) {
      case 'granted': {
        const { duration, isDraining } = answer.verdict;
        const sentAt = lease.noteGranted(answer.sequence, answer.memberIncarnation);
        if (sentAt !== undefined) {
          lease.extend(this.leaseEnd(sentAt, now, duration));
        }
        return isDraining ? this.#noteDrain(answer.member) : [];
      }
      case 'refused':
        if (!lease.noteRefused(answer.sequence, now, this.#options.duration)) {
          return [];
        }
        return answer.verdict.code === 'staleFencingNumber'
          ? this.#giveWay(answer.member, now)
          : [];
      case 'released':
        return [];
      default:
        return assertNever(answer.verdict);
    }
  }

  /**
   * A member serves a newer placement, so this one is over even if control cannot tell its lead.
   * Without handing the other leases back, the newer placement would wait until they run out.
   */
  #giveWay(member: HostName, now: Milliseconds): readonly LeaseLeadEffect[] {
    return [{ type: 'superseded', member }, ...this.#release(now)];
  }

  #noteDrain(member: HostName): readonly LeaseLeadEffect[] {
    if (this.#drainedBy !== undefined) {
      return [];
    }
    this.#drainedBy = member;
    this.#startDrain();
    return [{ type: 'drainNoted', member }];
  }

  #startDrain(): void {
    if (!this.#isDraining) {
      this.#isDraining = true;
      this.#running = undefined;
    }
  }

  #noteClosed(member: HostName, now: Milliseconds): readonly LeaseLeadEffect[] {
    this.#leases.get(member)?.noteClosed(now, this.#options.duration);
    return [];
  }

  #release(now: Milliseconds): readonly LeaseLeadEffect[] {
    const wasHolding = this.#phase === 'holding';
    this.#phase = 'released';
    this.#nextRound = Infinity;
    if (!wasHolding) {
      return [];
    }
    return [...this.#leases.values()].map((lease) => {
      const sequence = lease.noteAsked(now, this.#options.duration);
      return { type: 'ask', member: lease.member, question: this.#question(lease, sequence, true) };
    });
  }

  #settleConfirmations(now: Milliseconds): readonly LeaseLeadEffect[] {
    if (this.#phase === 'released') {
      return this.#confirmations.abandon().map(failConfirmation);
    }
    const leases = [...this.#leases.values()];
    const confirmedSince = Math.min(...leases.map((lease) => lease.confirmedSentAt));
    const settled = this.#confirmations.settle(now, confirmedSince);
    if (settled === undefined) {
      return [];
    }
    const isWhole = settled.isConfirmed && this.isWhole(now);
    return settled.tokens.map((token) => ({ type: 'confirmed', token, isWhole }));
  }

  #noticeHealth(now: Milliseconds): readonly LeaseLeadEffect[] {
    const health = this.health(now);
    if (isSameHealth(health, this.#health)) {
      return [];
    }
    this.#health = health;
    return [{ type: 'healthChanged', health }];
  }

  #wake(): readonly LeaseLeadEffect[] {
    if (this.#phase !== 'holding') {
      return [];
    }
    // The end of a lease is an event too: without it control would hear of the loss only with the next round.
    const expiry = this.#health.isServing ? this.wholeUntil() : Infinity;
    const retries = [...this.#leases.values()].map((lease) => lease.retryAt);
    const at = Math.min(this.#nextRound, this.#confirmations.wakeAt, expiry, ...retries);
    return [{ type: 'wake', at }];
  }
}

function failConfirmation(token: string): LeaseLeadEffect {
  return { type: 'confirmed', token, isWhole: false };
}

function isSameHealth(left: GroupHealth, right: GroupHealth): boolean {
  return (
    left.isServing === right.isServing &&
    left.isDrained === right.isDrained &&
    left.missing.join() === right.missing.join()
  );
}
