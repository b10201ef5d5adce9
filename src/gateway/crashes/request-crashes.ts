import type { Milliseconds } from '../../common/index.js';
import type { CrashSubjectKey } from '../../routing/index.js';
import type { CrashAssessment, CrashLedger } from './crash-ledger.js';

/** What one request needs to know of crashes, and what its outcome tells of them; performs no I/O. */

export class RequestCrashes {
  readonly #ledger: CrashLedger;
  readonly #readSubjects: () => readonly CrashSubjectKey[];
  /** Token of the trial that the request asked for. */
  #token: string | undefined;
  /** The quarantined subjects that the current attempt was sent for; empty if it is no trial. */
  #subjectsOnTrial: readonly CrashSubjectKey[] = [];

  /** `readSubjects` is called only when something is suspected or the request has an outcome, since a digest takes time. */
  constructor(ledger: CrashLedger, readSubjects: () => readonly CrashSubjectKey[]) {
    this.#ledger = ledger;
    this.#readSubjects = readSubjects;
  }

  get subjects(): readonly CrashSubjectKey[] {
    return this.#readSubjects();
  }

  /** The quarantined subjects that the current attempt was sent for; empty if it is no trial. */
  get subjectsOnTrial(): readonly CrashSubjectKey[] {
    return this.#subjectsOnTrial;
  }

  /** Whether the request may be sent. A quarantined request that has not been sent to any upstream asks for a trial first. */
  assess(now: Milliseconds, isUnsent: boolean): CrashAssessment {
    if (!this.#ledger.hasSuspicions) {
      return 'harmless';
    }
    const assessment = this.#ledger.assess(this.subjects, now, this.#token);
    if (assessment !== 'quarantined' || !isUnsent || this.#token !== undefined) {
      return assessment;
    }
    this.#token = this.#ledger.askForTrial(this.subjects, now);
    return this.#token === undefined ? 'quarantined' : 'unrecorded';
  }

  listQuarantined(now: Milliseconds): readonly CrashSubjectKey[] {
    return this.#ledger.listQuarantined(this.subjects, now);
  }

  /** An attempt is being sent. */
  noteSent(now: Milliseconds): void {
    const isOnTrial = this.#token !== undefined && this.#ledger.useTrial(this.#token, now);
    this.#subjectsOnTrial = isOnTrial ? this.listQuarantined(now) : [];
  }

  /** The attempt certainly did not run, so its trial can still be made. */
  noteNotRun(now: Milliseconds): void {
    if (this.#token !== undefined && this.#subjectsOnTrial.length > 0) {
      this.#ledger.restoreTrial(this.#token, now);
      this.#subjectsOnTrial = [];
    }
  }

  /** The request has ended. */
  noteOver(): void {
    if (this.#token !== undefined) {
      this.#ledger.abandonTrial(this.#token);
    }
  }

  /** The upstream that ran the request crashed; `crash` is the same for all requests that it had in hand. */
  noteCrash(crash: string, now: Milliseconds): void {
    this.#ledger.noteCrash(crash, this.subjects, now);
  }

  /** An upstream answered the request completely. */
  noteAnswered(now: Milliseconds): void {
    this.#ledger.noteAnswered(this.subjects, now, this.#subjectsOnTrial.length > 0);
  }
}
