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
 * The lead's side of the group leases; the sidecar has one for each placement that it leads.
 * A group is whole while its lead holds the leases of all members. Attempts are admitted only while it is.
 */

/** Questions a lead sends to each member per lease duration; three in a row may be lost before the lease expires. */
export const questionsPerLease = 4;

/** Options of a lease lead. */
export interface LeaseLeadOptions {
  readonly group: Group;
  /** Incarnation of the sidecar that leads. */
  readonly incarnation: string;
  readonly duration: Milliseconds;
  /** Confirmations requested within this time are batched into one round. */
  readonly confirmBatchDelay: Milliseconds;
  /** Time after which an incomplete confirmation round fails. */
  readonly confirmTimeout: Milliseconds;
}

/** Input events of a lead; `now` is a reading of its own monotonic clock. */
export type LeaseLeadEvent =
  | { readonly type: 'started'; readonly now: Milliseconds }
  /** The time of the last `wake` effect has been reached; extra ticks are harmless. */
  | { readonly type: 'ticked'; readonly now: Milliseconds }
  | { readonly type: 'answered'; readonly now: Milliseconds; readonly answer: LeaseAnswer }
  /** The connection to a member closed, or a question could not be delivered. */
  | { readonly type: 'connectionClosed'; readonly now: Milliseconds; readonly member: HostName }
  /** Control marked the group as draining. */
  | { readonly type: 'drainRequested'; readonly now: Milliseconds }
  /** Number of admitted attempts that have not ended. */
  | { readonly type: 'attemptsChanged'; readonly now: Milliseconds; readonly running: number }
  /** An attempt needs a confirmation round before it goes to the engine. */
  | { readonly type: 'confirmRequested'; readonly now: Milliseconds; readonly token: string }
  /** The placement has ended, or its drain has finished: release the leases. Nothing is admitted afterwards. */
  | { readonly type: 'dissolved'; readonly now: Milliseconds };

/** Output effects of a lead. */
export type LeaseLeadEffect =
  | { readonly type: 'ask'; readonly member: GroupMember; readonly question: LeaseQuestion }
  /** Sets the wake-up timer, replacing the previous one. */
  | { readonly type: 'wake'; readonly at: Milliseconds }
  /** Health to report to control; also signals whether attempts may be admitted. */
  | { readonly type: 'healthChanged'; readonly health: GroupHealth }
  /** The group started draining because this member is being stopped. */
  | { readonly type: 'drainNoted'; readonly member: HostName }
  | { readonly type: 'confirmed'; readonly token: string; readonly isWhole: boolean }
  /** A member has a newer placement: this one releases its leases and ends. */
  | { readonly type: 'superseded'; readonly member: HostName };

type Phase = 'idle' | 'holding' | 'released';

/** Acquires and renews the leases of one placement's members. */
export class LeaseLead implements Controller<LeaseLeadEvent, LeaseLeadEffect> {
  readonly #options: LeaseLeadOptions;
  readonly #leases: ReadonlyMap<HostName, HeldLease>;
  readonly #confirmations: ConfirmationRounds;
  #phase: Phase = 'idle';
  #nextRound: Milliseconds = Infinity;
  #isDraining: boolean;
  /** Undefined from the start of a drain until the next count: an older count may miss an attempt that was just admitted. */
  #running: number | undefined = 0;
  #health: GroupHealth;
  #drainingMember: HostName | undefined;

  constructor(options: LeaseLeadOptions) {
    this.#options = options;
    this.#leases = new Map(
      options.group.members.map((member) => [member.host, new HeldLease(member)]),
    );
    this.#confirmations = new ConfirmationRounds(options.confirmBatchDelay, options.confirmTimeout);
    this.#isDraining = options.group.isDraining;
    this.#health = this.health(-Infinity);
  }

  /** Time until which all leases are held, on the lead's clock; in the past if one is not held. */
  wholeUntil(): Milliseconds {
    if (this.#phase !== 'holding') {
      return -Infinity;
    }
    return Math.min(...[...this.#leases.values()].map((lease) => lease.expiresAt));
  }

  /** Whether the leases of all members are held at `now`. */
  isWhole(now: Milliseconds): boolean {
    return now < this.wholeUntil();
  }

  /** Checks whether an attempt may be handed to the engine; callers must pass a fresh clock reading. */
  checkAdmission(now: Milliseconds): Extract<ResultCodeName, 'ok' | 'draining' | 'notWhole'> {
    if (this.#isDraining) {
      return 'draining';
    }
    return this.isWhole(now) ? 'ok' : 'notWhole';
  }

  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** The group's health as seen by the lead. */
  health(now: Milliseconds): GroupHealth {
    const missing = [...this.#leases.values()]
      .filter((lease) => this.#phase !== 'holding' || lease.expiresAt <= now)
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
    const effects = [...this.#handleEvent(event), ...this.#settleConfirmations(event.now)];
    return [...effects, ...this.#reportHealthChange(event.now), ...this.#scheduleWake()];
  }

  /**
   * Expiry of a lease on the lead's clock.
   * It is counted from the send time of the question, because the member counts from the later time of receipt, and
   * shortened by the drift margin. So the lease expires on the lead before it does on the member, whatever the delays
   * of question and answer.
   */
  protected leaseEnd(
    sentAt: Milliseconds,
    _now: Milliseconds,
    duration: Milliseconds,
  ): Milliseconds {
    return sentAt + duration * (1 - driftMargin);
  }

  #handleEvent(event: LeaseLeadEvent): readonly LeaseLeadEffect[] {
    switch (event.type) {
      case 'started':
        this.#phase = 'holding';
        return this.#askAll(event.now);
      case 'ticked':
        return this.#tick(event.now);
      case 'answered':
        return this.#handleAnswer(event.answer, event.now);
      case 'connectionClosed':
        return this.#handleDisconnect(event.member, event.now);
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
    this.#confirmations.recordQuestionsSent(now);
    return [...this.#leases.values()].map((lease) => this.#ask(lease, now));
  }

  #ask(lease: HeldLease, now: Milliseconds): LeaseLeadEffect {
    const sequence = lease.recordQuestion(now, this.#options.duration);
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

  #handleAnswer(answer: LeaseAnswer, now: Milliseconds): readonly LeaseLeadEffect[] {
    const lease = this.#leases.get(answer.member);
    if (lease === undefined || answer.fencingNumber !== this.#options.group.fencingNumber) {
      return [];
    }
    switch (answer.verdict.type) {
      case 'granted': {
        const { duration, isDraining } = answer.verdict;
        const sentAt = lease.recordGrant(answer.sequence, answer.memberIncarnation);
        if (sentAt !== undefined) {
          lease.extend(this.leaseEnd(sentAt, now, duration));
        }
        return isDraining ? this.#handleMemberDrain(answer.member) : [];
      }
      case 'refused':
        if (!lease.recordRefusal(answer.sequence, now, this.#options.duration)) {
          return [];
        }
        return answer.verdict.code === 'staleFencingNumber'
          ? this.#yieldToNewer(answer.member, now)
          : [];
      case 'released':
        return [];
      default:
        return assertNever(answer.verdict);
    }
  }

  /**
   * Ends this placement because a member has a newer one; control may be unable to reach the lead.
   * Unless the other leases are released, the newer placement has to wait until they expire.
   */
  #yieldToNewer(member: HostName, now: Milliseconds): readonly LeaseLeadEffect[] {
    return [{ type: 'superseded', member }, ...this.#release(now)];
  }

  #handleMemberDrain(member: HostName): readonly LeaseLeadEffect[] {
    if (this.#drainingMember !== undefined) {
      return [];
    }
    this.#drainingMember = member;
    this.#startDrain();
    return [{ type: 'drainNoted', member }];
  }

  #startDrain(): void {
    if (!this.#isDraining) {
      this.#isDraining = true;
      this.#running = undefined;
    }
  }

  #handleDisconnect(member: HostName, now: Milliseconds): readonly LeaseLeadEffect[] {
    this.#leases.get(member)?.recordDisconnect(now, this.#options.duration);
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
      const sequence = lease.recordQuestion(now, this.#options.duration);
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

  #reportHealthChange(now: Milliseconds): readonly LeaseLeadEffect[] {
    const health = this.health(now);
    if (isSameHealth(health, this.#health)) {
      return [];
    }
    this.#health = health;
    return [{ type: 'healthChanged', health }];
  }

  #scheduleWake(): readonly LeaseLeadEffect[] {
    if (this.#phase !== 'holding') {
      return [];
    }
    // Wakes up when a lease expires as well; otherwise control would learn of the loss only at the next round.
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
