import type { Milliseconds } from '../../common/index.js';
import type { CrashSubjectKey } from '../../routing/index.js';

/**
 * Trials of quarantined subjects on one gateway: control grants that a single request with the subject is sent, so that one that was in
 * flight at crashes by coincidence is cleared by its answer. Performs no I/O.
 */

/** Interval between two requests for a trial of the same subject; control decides when one is due. */
const requestInterval: Milliseconds = 1000;
/** Time after which a grant is void that no request has used, for example because its caller left. */
const grantLifetime: Milliseconds = 30_000;

export interface TrialRequest {
  readonly request: CrashSubjectKey;
  /** Identifies the trial; the same when the report is sent again. */
  readonly token: string;
}

export interface TrialGrant {
  readonly subject: CrashSubjectKey;
  readonly expiresAt: Milliseconds;
}

export class TrialGrants {
  readonly #tokenPrefix: string;
  #requestCount = 0;
  /** Requests to be sent to control. */
  #wanted: readonly TrialRequest[] = [];
  /** Tokens of requests that control has not decided on. */
  readonly #undecided = new Set<string>();
  readonly #requestedAt = new Map<CrashSubjectKey, Milliseconds>();
  readonly #granted = new Map<CrashSubjectKey, TrialGrant>();

  constructor(tokenPrefix: string) {
    this.#tokenPrefix = tokenPrefix;
  }

  /**
   * Asks for a trial of the only quarantined subject of a request; returns its token, or undefined if it cannot be asked for now. With two
   * quarantined subjects, a crash would not show which is guilty.
   */
  want([subject, ...others]: readonly CrashSubjectKey[], now: Milliseconds): string | undefined {
    if (subject === undefined || others.length > 0) {
      return undefined;
    }
    const requestedAt = this.#requestedAt.get(subject);
    if (requestedAt !== undefined && now - requestedAt < requestInterval) {
      return undefined;
    }
    this.#requestedAt.set(subject, now);
    this.#requestCount += 1;
    const token = `${this.#tokenPrefix}/${this.#requestCount}`;
    this.#undecided.add(token);
    this.#wanted = [...this.#wanted, { request: subject, token }];
    return token;
  }

  isUndecided(token: string): boolean {
    return this.#undecided.has(token);
  }

  takeWanted(): readonly TrialRequest[] {
    const wanted = this.#wanted;
    this.#wanted = [];
    return wanted;
  }

  restoreWanted(trials: readonly TrialRequest[]): void {
    this.#wanted = [...trials, ...this.#wanted];
  }

  /** Control has granted the trials with the given tokens, and refused the others. */
  decide(trials: readonly TrialRequest[], granted: readonly string[], now: Milliseconds): void {
    for (const { request, token } of trials) {
      this.#undecided.delete(token);
      if (granted.includes(token)) {
        this.#granted.set(request, { subject: request, expiresAt: now + grantLifetime });
      }
    }
  }

  /** The grant for a request with the given quarantined subjects; undefined if there is none for all of them. */
  find(
    [subject, ...others]: readonly CrashSubjectKey[],
    now: Milliseconds,
  ): TrialGrant | undefined {
    const grant = subject === undefined ? undefined : this.#granted.get(subject);
    const isValid = grant !== undefined && others.length === 0 && now < grant.expiresAt;
    return isValid ? grant : undefined;
  }

  /** As `find`, and uses the grant up. */
  take(quarantined: readonly CrashSubjectKey[], now: Milliseconds): TrialGrant | undefined {
    const grant = this.find(quarantined, now);
    if (grant !== undefined) {
      this.#granted.delete(grant.subject);
    }
    return grant;
  }

  restore(grant: TrialGrant): void {
    this.#granted.set(grant.subject, grant);
  }

  /** Forgets subjects that are not quarantined any more. */
  retain(quarantined: ReadonlySet<CrashSubjectKey>): void {
    for (const subject of this.#requestedAt.keys()) {
      if (!quarantined.has(subject)) {
        this.#requestedAt.delete(subject);
        this.#granted.delete(subject);
      }
    }
    for (const { request, token } of this.#wanted) {
      if (!quarantined.has(request)) {
        this.#undecided.delete(token);
      }
    }
    this.#wanted = this.#wanted.filter(({ request }) => quarantined.has(request));
  }
}
