import {
  assertNever,
  type Controller,
  type Milliseconds,
  type ResultCodeName,
} from '../common/index.js';
import type { FencingNumber, GroupName, HostName, Incarnation } from '../model/index.js';
import type { LeaseAnswer, LeaseQuestion } from './messages.js';

/**
 * The member's side of the group leases: one for each sidecar.
 * A member never vouches for two groups at once, and only while its own upstream can do the work.
 */

/** Longest lease a member grants unless its options say otherwise; also how long it waits after a restart. */
export const defaultLongestLease: Milliseconds = 2000;

/** What a member is set up with. */
export interface LeaseMemberOptions {
  readonly host: HostName;
  /** New for each start of the sidecar. */
  readonly incarnation: Incarnation;
  /** A question for more is granted this much; the same on all starts of one host. */
  readonly longestLease: Milliseconds;
}

/** What a member is told; `now` is a reading of its own monotonic clock. */
export type LeaseMemberEvent =
  | { readonly type: 'started'; readonly now: Milliseconds }
  | { readonly type: 'asked'; readonly now: Milliseconds; readonly question: LeaseQuestion }
  | { readonly type: 'healthChanged'; readonly now: Milliseconds; readonly isHealthy: boolean }
  | {
      /** Whether the upstream has loaded what this placement offers; always true for a plain service. */
      readonly type: 'readinessChanged';
      readonly now: Milliseconds;
      readonly group: GroupName;
      readonly fencingNumber: FencingNumber;
      readonly isReady: boolean;
    }
  | { readonly type: 'drainRequested'; readonly now: Milliseconds };

/** What a member wants done. */
export interface LeaseMemberEffect {
  /** Also sent without a question, with the last sequence granted, when health or drain changes. */
  readonly type: 'answer';
  readonly to: HostName;
  readonly answer: LeaseAnswer;
}

/** The placement that holds a member. */
export interface LeaseHolder {
  readonly group: GroupName;
  readonly fencingNumber: FencingNumber;
  /** On the member's clock. */
  readonly until: Milliseconds;
}

interface Grant extends LeaseHolder {
  readonly lead: HostName;
  readonly leadIncarnation: Incarnation;
  /** Highest sequence granted to this lead. */
  readonly sequence: number;
}

interface Release {
  readonly lead: HostName;
  readonly leadIncarnation: Incarnation;
  readonly fencingNumber: FencingNumber;
  readonly sequence: number;
}

/** Grants, refuses and takes back leases for one host. */
export class LeaseMember implements Controller<LeaseMemberEvent, LeaseMemberEffect> {
  readonly #options: LeaseMemberOptions;
  #grants: readonly Grant[] = [];
  #ready: readonly FencingNumber[] = [];
  #highestFencingNumber: FencingNumber = 0;
  #lastRelease: Release | undefined;
  #waitsUntil: Milliseconds = Infinity;
  #isHealthy = false;
  #isDraining = false;

  constructor(options: LeaseMemberOptions) {
    this.#options = options;
  }

  /** The placement whose leads may still count on this member; undefined when nobody may. */
  holder(now: Milliseconds): LeaseHolder | undefined {
    const [first, ...others] = this.#grants.filter((grant) => grant.until > now);
    return others.reduce<LeaseHolder | undefined>(
      (latest, grant) => (latest !== undefined && latest.until >= grant.until ? latest : grant),
      first,
    );
  }

  /** Whether this member has been asked to stop. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  handle(event: LeaseMemberEvent): readonly LeaseMemberEffect[] {
    switch (event.type) {
      case 'started':
        this.#waitsUntil = this.restartWaitEnd(event.now);
        return [];
      case 'asked':
        return [this.#send(event.question, this.#answer(event.question, event.now))];
      case 'healthChanged':
        this.#isHealthy = event.isHealthy;
        return event.isHealthy ? [] : this.#revoke(event.now, 'engineUnhealthy', () => true);
      case 'readinessChanged':
        return this.#changeReadiness(event);
      case 'drainRequested':
        this.#isDraining = true;
        return this.#announceDrain(event.now);
      default:
        return assertNever(event);
    }
  }

  /**
   * When a restarted member may grant again.
   * It has forgotten what its last incarnation granted: without the wait it could vouch for a new group while
   * the lead of an old one still counts on it. One longest lease after the start all of those have run out.
   */
  protected restartWaitEnd(now: Milliseconds): Milliseconds {
    return now + this.#options.longestLease;
  }

  /**
   * Whether a lease given to another placement still stands.
   * Without this check two groups would count on one host for as long as the older lease runs.
   */
  protected isHeldByOther(question: LeaseQuestion, now: Milliseconds): boolean {
    return this.#grants.some(
      (grant) => grant.until > now && grant.fencingNumber !== question.fencingNumber,
    );
  }

  #answer(question: LeaseQuestion, now: Milliseconds): LeaseAnswer['verdict'] {
    this.#grants = this.#grants.filter((grant) => grant.until > now);
    if (question.isRelease) {
      this.#release(question);
      return { type: 'released' };
    }
    const refusal = this.#findRefusal(question, now);
    if (refusal !== undefined) {
      return { type: 'refused', code: refusal };
    }
    const duration = Math.min(question.duration, this.#options.longestLease);
    this.#grant(question, now + duration);
    return { type: 'granted', duration, isDraining: this.#isDraining };
  }

  #findRefusal(question: LeaseQuestion, now: Milliseconds): ResultCodeName | undefined {
    if (question.fencingNumber < this.#highestFencingNumber || this.#isAfterRelease(question)) {
      return 'staleFencingNumber';
    }
    if (now < this.#waitsUntil) {
      return 'restartWait';
    }
    if (!this.#isHealthy) {
      return 'engineUnhealthy';
    }
    const isHeld = this.#grants.some((grant) => grant.fencingNumber === question.fencingNumber);
    if (this.#isDraining && !isHeld) {
      return 'draining';
    }
    // From here on the older placement is refused, so that a lead that never hears of its end cannot renew for ever.
    this.#highestFencingNumber = question.fencingNumber;
    if (this.isHeldByOther(question, now)) {
      return 'leaseHeldElsewhere';
    }
    return this.#ready.includes(question.fencingNumber) ? undefined : 'artifactNotLoaded';
  }

  #grant(question: LeaseQuestion, until: Milliseconds): void {
    const previous = this.#grants.find((grant) => isSameLead(grant, question));
    const others = this.#grants.filter((grant) => grant !== previous);
    const { group, fencingNumber, lead, leadIncarnation } = question;
    const grant: Grant = {
      group,
      fencingNumber,
      lead,
      leadIncarnation,
      until: Math.max(until, previous?.until ?? until),
      sequence: Math.max(question.sequence, previous?.sequence ?? 0),
    };
    this.#grants = [...others, grant];
  }

  /** Only the lead that was granted a lease can hand it back: the release of a former start must not free a newer one. */
  #release(question: LeaseQuestion): void {
    this.#grants = this.#grants.filter((grant) => !isSameLead(grant, question));
    const { lead, leadIncarnation, fencingNumber, sequence } = question;
    this.#lastRelease = { lead, leadIncarnation, fencingNumber, sequence };
  }

  /** A question sent before the release and delivered after it: granting it would block the host for nothing. */
  #isAfterRelease(question: LeaseQuestion): boolean {
    const release = this.#lastRelease;
    return (
      release !== undefined && isSameLead(release, question) && question.sequence < release.sequence
    );
  }

  #changeReadiness(
    event: Extract<LeaseMemberEvent, { type: 'readinessChanged' }>,
  ): readonly LeaseMemberEffect[] {
    const others = this.#ready.filter(
      (number) => number !== event.fencingNumber && number >= this.#highestFencingNumber,
    );
    this.#ready = event.isReady ? [...others, event.fencingNumber] : others;
    if (event.isReady) {
      return [];
    }
    const isOfPlacement = (grant: Grant) => grant.fencingNumber === event.fencingNumber;
    return this.#revoke(event.now, 'artifactNotLoaded', isOfPlacement);
  }

  /** Tells leads at once instead of at their next question; the grant itself stands until it runs out or is handed back. */
  #revoke(
    now: Milliseconds,
    code: ResultCodeName,
    isRevoked: (grant: Grant) => boolean,
  ): readonly LeaseMemberEffect[] {
    return this.#grants
      .filter((grant) => grant.until > now && isRevoked(grant))
      .map((grant) => this.#send(grant, { type: 'refused', code }));
  }

  #announceDrain(now: Milliseconds): readonly LeaseMemberEffect[] {
    return this.#grants
      .filter((grant) => grant.until > now)
      .map((grant) => this.#send(grant, { type: 'granted', duration: 0, isDraining: true }));
  }

  #send(
    asked: Pick<LeaseQuestion, 'sequence' | 'group' | 'fencingNumber' | 'lead'>,
    verdict: LeaseAnswer['verdict'],
  ): LeaseMemberEffect {
    const answer: LeaseAnswer = {
      sequence: asked.sequence,
      group: asked.group,
      fencingNumber: asked.fencingNumber,
      member: this.#options.host,
      memberIncarnation: this.#options.incarnation,
      verdict,
    };
    return { type: 'answer', to: asked.lead, answer };
  }
}

function isSameLead(
  left: Pick<Release, 'lead' | 'leadIncarnation' | 'fencingNumber'>,
  right: Pick<Release, 'lead' | 'leadIncarnation' | 'fencingNumber'>,
): boolean {
  return (
    left.fencingNumber === right.fencingNumber &&
    left.lead === right.lead &&
    left.leadIncarnation === right.leadIncarnation
  );
}
