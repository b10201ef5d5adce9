import type { Milliseconds } from '../../common/index.js';
import type { CrashSubjectKey } from '../../routing/index.js';

/**
 * Trials of quarantined subjects on one gateway: control grants that a single request with them is sent, so that those that were in flight at
 * crashes by coincidence are cleared by its answer. Performs no I/O.
 */

/** Shortest interval between two requests for a trial of the same subject. */
const requestInterval: Milliseconds = 200;
/** Other subjects named in a request for a trial. */
const maximumOthers = 64;
/** Tokens kept to be returned; the oldest are dropped while control cannot be reached for long. */
const maximumReturned = 100;
/** Time after which a grant is void that its request has not used, for example because all upstreams are full. */
const grantLifetime: Milliseconds = 5000;

export interface TrialRequest {
  /** Identifies the trial; the same when the report is sent again. */
  readonly token: string;
  /** The quarantined subjects of the request. */
  readonly subjects: readonly CrashSubjectKey[];
  /** Its other subjects, except those that have been answered. */
  readonly others: readonly CrashSubjectKey[];
}

/** What control answers to a report with requests for trials. */
export interface TrialDecisions {
  /** Tokens of the granted trials. */
  readonly granted: readonly string[];
  /** When trials of subjects may be asked for again. */
  readonly refused: readonly {
    readonly subject: CrashSubjectKey;
    readonly retryAfterMilliseconds: Milliseconds;
  }[];
}

/** What is to be reported to control of trials. */
export interface PendingTrials {
  readonly trials: readonly TrialRequest[];
  /** Tokens of grants that no request has used. */
  readonly returned: readonly string[];
}

export class TrialGrants {
  readonly #tokenPrefix: string;
  #requestCount = 0;
  #pending: PendingTrials = { trials: [], returned: [] };
  /** Tokens of requests that control has not decided on, and whether their requests still want the trial. */
  readonly #undecided = new Map<string, { readonly isWanted: boolean }>();
  /** Time from which the next trial of a subject may be asked for. */
  readonly #nextRequestAt = new Map<CrashSubjectKey, Milliseconds>();
  /** Time until which each granted trial may be used, by token. */
  readonly #grantedUntil = new Map<string, Milliseconds>();

  constructor(tokenPrefix: string) {
    this.#tokenPrefix = tokenPrefix;
  }

  /**
   * Asks for a trial with a request that has the given quarantined subjects and the `others`; returns its token, or undefined if it cannot be
   * asked for now.
   */
  want(
    subjects: readonly CrashSubjectKey[],
    others: readonly CrashSubjectKey[],
    now: Milliseconds,
  ): string | undefined {
    if (subjects.some((subject) => now < (this.#nextRequestAt.get(subject) ?? now))) {
      return undefined;
    }
    for (const subject of subjects) {
      this.#nextRequestAt.set(subject, now + requestInterval);
    }
    this.#requestCount += 1;
    const token = `${this.#tokenPrefix}/${this.#requestCount}`;
    this.#undecided.set(token, { isWanted: true });
    const trial = { token, subjects, others: others.slice(0, maximumOthers) };
    this.#pending = { ...this.#pending, trials: [...this.#pending.trials, trial] };
    return token;
  }

  isUndecided(token: string): boolean {
    return this.#undecided.has(token);
  }

  takePending(): PendingTrials {
    const pending = this.#pending;
    this.#pending = { trials: [], returned: [] };
    return pending;
  }

  /** Control may have granted the trials, so those whose requests have ended meanwhile are returned. */
  restorePending({ trials, returned }: PendingTrials): void {
    const wanted = trials.filter(({ token }) => this.#undecided.get(token)?.isWanted === true);
    const unwanted = trials.filter((trial) => !wanted.includes(trial)).map(({ token }) => token);
    unwanted.forEach((token) => this.#undecided.delete(token));
    this.#pending = {
      trials: [...wanted, ...this.#pending.trials],
      returned: [...returned, ...unwanted, ...this.#pending.returned].slice(-maximumReturned),
    };
  }

  decide(
    trials: readonly TrialRequest[],
    { granted, refused }: TrialDecisions,
    now: Milliseconds,
  ): void {
    for (const { token } of trials) {
      const isWanted = this.#undecided.get(token)?.isWanted === true;
      this.#undecided.delete(token);
      if (granted.includes(token)) {
        this.#grantedUntil.set(token, now + grantLifetime);
      }
      if (!isWanted) {
        this.abandon(token);
      }
    }
    for (const { subject, retryAfterMilliseconds } of refused) {
      this.#nextRequestAt.set(subject, now + Math.max(requestInterval, retryAfterMilliseconds));
    }
  }

  isGranted(token: string, now: Milliseconds): boolean {
    return now < (this.#grantedUntil.get(token) ?? now);
  }

  /** Uses a grant up; returns whether there is one. */
  use(token: string, now: Milliseconds): boolean {
    return this.isGranted(token, now) && this.#grantedUntil.delete(token);
  }

  /** The request on trial certainly did not run, so the trial can still be made. */
  restore(token: string, now: Milliseconds): void {
    this.#grantedUntil.set(token, now + grantLifetime);
  }

  /** The request that asked for the trial has ended; control may grant an unused one to another request. */
  abandon(token: string): void {
    const { trials } = this.#pending;
    const isUnsent = trials.some((trial) => trial.token === token);
    if (isUnsent) {
      this.#undecided.delete(token);
      this.#pending = { ...this.#pending, trials: trials.filter((each) => each.token !== token) };
    } else if (this.#undecided.has(token)) {
      this.#undecided.set(token, { isWanted: false });
    }
    if (this.#grantedUntil.delete(token)) {
      this.#pending = { ...this.#pending, returned: [...this.#pending.returned, token] };
    }
  }

  /** Forgets when trials of subjects that are not quarantined any more may be asked for. */
  retain(quarantined: ReadonlySet<CrashSubjectKey>): void {
    for (const subject of this.#nextRequestAt.keys()) {
      if (!quarantined.has(subject)) {
        this.#nextRequestAt.delete(subject);
      }
    }
    const isWanted = ({ subjects }: TrialRequest): boolean => {
      return subjects.some((subject) => quarantined.has(subject));
    };
    for (const trial of this.#pending.trials.filter((each) => !isWanted(each))) {
      this.#undecided.delete(trial.token);
    }
    this.#pending = { ...this.#pending, trials: this.#pending.trials.filter(isWanted) };
  }
}
