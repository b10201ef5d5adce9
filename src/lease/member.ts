import {
  assertNever,
  type Controller,
  type Milliseconds,
  type ResultCodeName,
} from '../common/index.js';
import type { FencingNumber, GroupName, HostName, Incarnation } from '../model/index.js';
import type { LeaseAnswer, LeaseQuestion } from './messages.js';

/**
 * The member's side of the group leases; each sidecar has one.
 * A member never holds valid grants for two groups at once, and grants only while its own upstream can serve.
 */

/** Default of the longest lease a member grants, which is also how long it waits after a restart. */
export const defaultLongestLease: Milliseconds = 2000;

/** Options of a lease member. */
export interface LeaseMemberOptions {
  readonly host: HostName;
  /** New for each start of the sidecar. */
  readonly incarnation: Incarnation;
  /** Longer requested leases are shortened to this; must be the same for all incarnations of one host. */
  readonly longestLease: Milliseconds;
}

/** Input events of a member; `now` is a reading of its own monotonic clock. */
export type LeaseMemberEvent =
  | { readonly type: 'started'; readonly now: Milliseconds }
  | { readonly type: 'asked'; readonly now: Milliseconds; readonly question: LeaseQuestion }
  | { readonly type: 'healthChanged'; readonly now: Milliseconds; readonly isHealthy: boolean }
  | {
      /** Whether the upstream has loaded the artifact of this placement; always true for a plain service. */
      readonly type: 'readinessChanged';
      readonly now: Milliseconds;
      readonly group: GroupName;
      readonly fencingNumber: FencingNumber;
      readonly isReady: boolean;
    }
  | { readonly type: 'drainRequested'; readonly now: Milliseconds };

/** Output effects of a member. */
export interface LeaseMemberEffect {
  /** Also sent unsolicited, with the last granted sequence, when health, readiness or drain changes. */
  readonly type: 'answer';
  readonly to: HostName;
  readonly answer: LeaseAnswer;
}

/** The placement that holds a member's lease. */
export interface LeaseHolder {
  readonly group: GroupName;
  readonly fencingNumber: FencingNumber;
  /** Expiry on the member's clock. */
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

/** Grants, refuses and releases leases for one host. */
export class LeaseMember implements Controller<LeaseMemberEvent, LeaseMemberEffect> {
  readonly #options: LeaseMemberOptions;
  #grants: readonly Grant[] = [];
  #ready: readonly FencingNumber[] = [];
  #highestFencingNumber: FencingNumber = 0;
  #lastRelease: Release | undefined;
  #restartWaitUntil: Milliseconds = Infinity;
  #isHealthy = false;
  #isDraining = false;

  constructor(options: LeaseMemberOptions) {
    this.#options = options;
  }

  /** The placement whose lead may still rely on this member; undefined if there is none. */
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
        this.#restartWaitUntil = this.restartWaitEnd(event.now);
        return [];
      case 'asked':
        return [this.#send(event.question, this.#answer(event.question, event.now))];
      case 'healthChanged':
        this.#isHealthy = event.isHealthy;
        return event.isHealthy ? [] : this.#notifyLeads(event.now, 'engineUnhealthy', () => true);
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
   * It does not know what its previous incarnation granted. Without the wait it could grant a lease to a new group
   * while the lead of an old one still relies on it. All earlier leases have expired one longest lease after the start.
   */
  protected restartWaitEnd(now: Milliseconds): Milliseconds {
    return now + this.#options.longestLease;
  }

  /**
   * Whether a lease granted to another placement is still valid.
   * Without this check two groups would rely on one host until the older lease expires.
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
    if (
      question.fencingNumber < this.#highestFencingNumber ||
      this.#wasSentBeforeRelease(question)
    ) {
      return 'staleFencingNumber';
    }
    if (now < this.#restartWaitUntil) {
      return 'restartWait';
    }
    if (!this.#isHealthy) {
      return 'engineUnhealthy';
    }
    const isHeld = this.#grants.some((grant) => grant.fencingNumber === question.fencingNumber);
    if (this.#isDraining && !isHeld) {
      return 'draining';
    }
    // Refuses older placements from now on, so that a lead that is never told its placement ended cannot renew forever.
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

  /** Releases a lease only for the lead that holds it: a release by an earlier incarnation must not end a newer lease. */
  #release(question: LeaseQuestion): void {
    this.#grants = this.#grants.filter((grant) => !isSameLead(grant, question));
    const { lead, leadIncarnation, fencingNumber, sequence } = question;
    this.#lastRelease = { lead, leadIncarnation, fencingNumber, sequence };
  }

  /** Whether a question was sent before the release and delivered after it; granting it would block the host needlessly. */
  #wasSentBeforeRelease(question: LeaseQuestion): boolean {
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
    return this.#notifyLeads(event.now, 'artifactNotLoaded', isOfPlacement);
  }

  /** Notifies leads at once instead of at their next question; the grant itself is valid until it expires or is released. */
  #notifyLeads(
    now: Milliseconds,
    code: ResultCodeName,
    isAffected: (grant: Grant) => boolean,
  ): readonly LeaseMemberEffect[] {
    return this.#grants
      .filter((grant) => grant.until > now && isAffected(grant))
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
