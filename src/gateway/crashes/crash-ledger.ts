import { LRUCache } from 'lru-cache';

import type { Milliseconds } from '../../common/index.js';
import type { CrashSubjectKey } from '../../routing/index.js';
import { TrialGrants, type PendingTrials, type TrialDecisions } from './trial-grants.js';

/**
 * Tracks crashes, complete responses and quarantined subjects on one gateway; performs no I/O.
 * The subjects of a request are its whole content and the segments of its prompt that others may share.
 */

/** Capacity of each LRU cache. */
const maximumTrackedSubjects = 20_000;
/** Crashed upstreams with a pending report; the oldest are dropped while control cannot be reached for long. */
const maximumPendingCrashes = 500;
/** Subjects reported of one crash. */
const maximumSubjectsPerCrash = 2000;
/** Time for which a complete response keeps a subject from being suspected or rejected. */
const answerLifetime: Milliseconds = 60_000;
/**
 * Delay between receiving a quarantine and enforcing it. It allows gateways with a recent complete response to report it first; without the
 * delay, a frequent request would be rejected after a rack failure that ends several upstreams at once.
 */
const quarantineDelay: Milliseconds = 400;

/** The part of a routing view that concerns crashes. */
export interface QuarantineView {
  /** False until the first complete state has arrived. */
  readonly isSynchronized: boolean;
  readonly quarantined: ReadonlySet<CrashSubjectKey>;
}

/** What has not been reported to control yet. */
export interface PendingCrashes extends PendingTrials {
  readonly crashes: readonly UpstreamCrash[];
  /** Subjects that an upstream has answered completely. */
  readonly answered: readonly CrashSubjectKey[];
}

export interface UpstreamCrash {
  /** Identity of the instance that crashed. */
  readonly upstream: string;
  /** Subjects that were in flight on it. */
  readonly requests: readonly CrashSubjectKey[];
}

/**
 * What is known of a request. `quarantined`: one of its subjects crashed several upstreams. `unrecorded`: an upstream crashed while one of
 * them ran, and control has not recorded that yet. Sent again now, a request that crashes upstreams would crash another one before any
 * gateway knows of this one, and a gateway that is cut off from control would go on without end. A request also counts as `unrecorded` while
 * control decides on the trial that it asked for.
 */
export type CrashAssessment = 'harmless' | 'unrecorded' | 'quarantined';

export class CrashLedger {
  readonly #answeredAt = new LRUCache<CrashSubjectKey, Milliseconds>({
    max: maximumTrackedSubjects,
  });
  /** Subjects that this gateway had in flight on an upstream that crashed. */
  readonly #suspects = new LRUCache<CrashSubjectKey, true>({ max: maximumTrackedSubjects });
  /** Time from which each quarantine is enforced. */
  #enforcedFrom: ReadonlyMap<CrashSubjectKey, Milliseconds> = new Map();
  /** Subjects that were in flight at a crash that control has not recorded yet. */
  readonly #unrecorded = new LRUCache<CrashSubjectKey, true>({ max: maximumTrackedSubjects });
  readonly #trials: TrialGrants;
  #pendingCrashes = new Map<string, Set<CrashSubjectKey>>();
  #pendingAnswered = new Set<CrashSubjectKey>();
  #hasStarted = false;

  /** `tokenPrefix`: distinguishes the trials of this gateway from those of others and of its earlier starts. */
  constructor(tokenPrefix = '') {
    this.#trials = new TrialGrants(tokenPrefix);
  }

  /** Records a crash for the subjects that were in flight, except those with a recent complete response. */
  noteCrash(upstream: string, subjects: Iterable<CrashSubjectKey>, now: Milliseconds): void {
    const suspected = this.#selectSuspected(subjects, now);
    if (suspected.length === 0) {
      return;
    }
    for (const subject of suspected) {
      this.#suspects.set(subject, true);
      this.#unrecorded.set(subject, true);
    }
    const known = this.#pendingCrashes.get(upstream) ?? [];
    this.#pendingCrashes.set(upstream, new Set([...known, ...suspected]));
    this.#limitPending();
  }

  /**
   * Records a complete response, which shows that none of the subjects crashes every upstream that runs it. `isOnTrial`: whether the request
   * was sent on trial, so that control may suspect any of them.
   */
  noteAnswered(subjects: readonly CrashSubjectKey[], now: Milliseconds, isOnTrial = false): void {
    for (const subject of subjects) {
      this.#answeredAt.set(subject, now);
      this.#unrecorded.delete(subject);
      if (this.#suspects.delete(subject) || this.#enforcedFrom.has(subject) || isOnTrial) {
        this.#pendingAnswered.add(subject);
      }
    }
  }

  /** Takes the quarantines that control knows of; returns as `setQuarantined` does. */
  applyView(
    { isSynchronized, quarantined }: QuarantineView,
    now: Milliseconds,
  ): Milliseconds | undefined {
    if (isSynchronized && !this.#hasStarted) {
      this.#hasStarted = true;
      this.startWith(quarantined, now);
    }
    return this.setQuarantined(quarantined, now);
  }

  /** Takes the quarantines in force when this gateway starts. It has no complete responses to report against them, so they apply at once. */
  startWith(quarantined: ReadonlySet<CrashSubjectKey>, now: Milliseconds): void {
    this.#enforcedFrom = new Map([...quarantined].map((subject) => [subject, now]));
  }

  /**
   * Replaces the set of quarantined subjects and queues a report for those with a recent complete response. Returns the time from which new
   * quarantines are enforced; undefined if there are none.
   */
  setQuarantined(
    quarantined: ReadonlySet<CrashSubjectKey>,
    now: Milliseconds,
  ): Milliseconds | undefined {
    const known = this.#enforcedFrom;
    this.#enforcedFrom = new Map(
      [...quarantined].map((subject) => [subject, known.get(subject) ?? now + quarantineDelay]),
    );
    this.#trials.retain(quarantined);
    for (const subject of quarantined) {
      if (!known.has(subject) && this.#isAnswered(subject, now)) {
        this.#pendingAnswered.add(subject);
      }
    }
    const hasNew = [...quarantined].some((subject) => !known.has(subject));
    return hasNew ? now + quarantineDelay : undefined;
  }

  /** Lets callers skip computing a digest while nothing is suspected. */
  get hasSuspicions(): boolean {
    return this.#enforcedFrom.size > 0 || this.#unrecorded.size > 0;
  }

  /** Whether a request with the given subjects may be sent to an upstream. `trial`: token of the trial that it asked for. */
  assess(subjects: readonly CrashSubjectKey[], now: Milliseconds, trial?: string): CrashAssessment {
    const quarantined = this.listQuarantined(subjects, now);
    const isOnTrial = trial !== undefined && this.#trials.isGranted(trial, now);
    if (quarantined.length > 0 && !isOnTrial) {
      return trial !== undefined && this.#trials.isUndecided(trial) ? 'unrecorded' : 'quarantined';
    }
    const isUnrecorded = subjects.some((subject) => {
      return this.#unrecorded.has(subject) && !this.#isAnswered(subject, now);
    });
    return isUnrecorded ? 'unrecorded' : 'harmless';
  }

  /** Those of the subjects that must not be sent. */
  listQuarantined(
    subjects: readonly CrashSubjectKey[],
    now: Milliseconds,
  ): readonly CrashSubjectKey[] {
    return subjects.filter((subject) => {
      const enforcedFrom = this.#enforcedFrom.get(subject);
      return enforcedFrom !== undefined && now >= enforcedFrom && !this.#isAnswered(subject, now);
    });
  }

  /**
   * Asks control to let a request be sent in spite of its quarantined subjects. Returns the token of the trial, or undefined if none can be
   * asked for now.
   */
  askForTrial(subjects: readonly CrashSubjectKey[], now: Milliseconds): string | undefined {
    const quarantined = this.listQuarantined(subjects, now);
    const others = subjects.filter((subject) => {
      return !quarantined.includes(subject) && !this.#isAnswered(subject, now);
    });
    return this.#trials.want(quarantined, others, now);
  }

  /** The request that asked for the trial is being sent; returns whether the trial is granted, and uses it up. */
  useTrial(token: string, now: Milliseconds): boolean {
    return this.#trials.use(token, now);
  }

  /** The request on trial certainly did not run, so the trial can still be made. */
  restoreTrial(token: string, now: Milliseconds): void {
    this.#trials.restore(token, now);
  }

  /** The request that asked for the trial has ended; control may grant an unused one to another request. */
  abandonTrial(token: string): void {
    this.#trials.abandon(token);
  }

  /** Removes and returns everything to be reported; undefined if there is nothing. */
  takePending(): PendingCrashes | undefined {
    const { trials, returned } = this.#trials.takePending();
    const count = this.#pendingCrashes.size + this.#pendingAnswered.size;
    if (count + trials.length + returned.length === 0) {
      return undefined;
    }
    const crashes = [...this.#pendingCrashes].map(([upstream, requests]) => ({
      upstream,
      requests: [...requests],
    }));
    const answered = [...this.#pendingAnswered];
    this.#pendingCrashes = new Map();
    this.#pendingAnswered = new Set();
    return { crashes, answered, trials, returned };
  }

  /** Queues a report again after it could not be delivered. */
  restorePending({ crashes, answered, ...trials }: PendingCrashes): void {
    for (const { upstream, requests } of crashes) {
      const known = this.#pendingCrashes.get(upstream) ?? [];
      this.#pendingCrashes.set(upstream, new Set([...requests, ...known]));
    }
    this.#pendingAnswered = new Set([...answered, ...this.#pendingAnswered]);
    this.#trials.restorePending(trials);
  }

  /** Control has recorded the report and decided on its trials. Subjects with further crashes stay unrecorded. */
  noteRecorded(
    { crashes, trials }: PendingCrashes,
    decisions: TrialDecisions,
    now: Milliseconds,
  ): void {
    this.#release(crashes.flatMap(({ requests }) => requests));
    this.#trials.decide(trials, decisions, now);
  }

  /** Subjects of earlier crashes come first, so that those that were in flight once do not displace one that recurs. */
  #selectSuspected(
    subjects: Iterable<CrashSubjectKey>,
    now: Milliseconds,
  ): readonly CrashSubjectKey[] {
    const suspected = [...subjects].filter((subject) => !this.#isAnswered(subject, now));
    if (suspected.length <= maximumSubjectsPerCrash) {
      return suspected;
    }
    const recurring = suspected.filter((subject) => this.#suspects.has(subject));
    const others = suspected.filter((subject) => !this.#suspects.has(subject));
    others.forEach((subject) => this.#suspects.set(subject, true));
    return [...recurring, ...others].slice(0, maximumSubjectsPerCrash);
  }

  #limitPending(): void {
    const excess = Math.max(0, this.#pendingCrashes.size - maximumPendingCrashes);
    for (const [upstream, subjects] of [...this.#pendingCrashes].slice(0, excess)) {
      this.#pendingCrashes.delete(upstream);
      this.#release(subjects);
    }
  }

  /** Holds subjects back no longer, unless another crash of theirs is to be reported. */
  #release(subjects: Iterable<CrashSubjectKey>): void {
    const pending = new Set([...this.#pendingCrashes.values()].flatMap((each) => [...each]));
    for (const subject of subjects) {
      if (!pending.has(subject)) {
        this.#unrecorded.delete(subject);
      }
    }
  }

  #isAnswered(subject: CrashSubjectKey, now: Milliseconds): boolean {
    const answeredAt = this.#answeredAt.get(subject);
    return answeredAt !== undefined && now - answeredAt < answerLifetime;
  }
}
