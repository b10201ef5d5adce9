import {
  assertNever,
  createFailure,
  resultCodes,
  type Controller,
  type Milliseconds,
  type RandomSource,
  type ResultCodeName,
} from '../common/index.js';
import type { GroupName, Revision } from '../model/index.js';
import { AnswerAssembler } from './answer-assembler.js';
import { RequestCrashes, type CrashLedger } from './crashes/index.js';
import { AttemptFollower, type FollowResult } from './attempt-follower.js';
import type { ClaimOutcome } from './claims.js';
import type { RequestLimits } from './limits.js';
import type { LoadTracker } from './load-tracker.js';
import type {
  AttemptTarget,
  RequestEffect,
  RequestEvent,
  RequestFacts,
  StreamEvent,
} from './messages.js';
import { RequestLifecycle, type RequestStage } from './request-machine.js';
import type { RetryBudget } from './retry-budget.js';
import type { Router } from './router.js';

type EventOf<Type extends RequestEvent['type']> = Extract<RequestEvent, { readonly type: Type }>;

/** Dependencies shared by the requests of one gateway. */
export interface RequestDependencies {
  readonly router: Router;
  readonly loads: LoadTracker;
  readonly retryBudget: RetryBudget;
  readonly random: RandomSource;
  readonly limits: RequestLimits;
  /** Crashes of upstreams and quarantines; absent where they are not tracked. */
  readonly crashLedger?: CrashLedger;
}

const defaultRetryAfter: Milliseconds = 1000;
/** Jitter of Retry-After as a fraction, so that callers refused together do not all retry at the same time. */
const retryAfterJitter = 0.5;

/** Refusals caused by an outdated view of this gateway: the same group may accept once the view is newer. */
const staleViewCodes: ReadonlySet<ResultCodeName> = new Set([
  'staleConfiguration',
  'staleFencingNumber',
  'staleIncarnation',
  'unknownGroup',
]);

/**
 * Refusals after which the same group may accept the request a moment later. `notWhole`: the lead could not confirm the leases of all
 * members in time, for example because a sidecar stalled. If the group is really lost, control withdraws it, which ends the wait.
 */
const temporaryCodes: ReadonlySet<ResultCodeName> = new Set([...staleViewCodes, 'notWhole']);

/**
 * Results of attempts that never arrived. They indicate a connection problem only, so the group may be tried again,
 * although other groups are preferred. Such a retry does not use the retry budget, because no upstream did any work.
 * Otherwise a sidecar that pauses for a second with dozens of attempts on its connection would use up the budget and
 * make the remaining requests fail.
 */
const neverArrivedCodes: ReadonlySet<ResultCodeName> = new Set(['tombstoned']);

/**
 * Makes all decisions for one caller's request, from its arrival to its single final answer.
 *
 * Guarantees:
 * - The caller receives only bytes of this request's attempts, in order.
 * - An answer counts as complete only after its end and every byte before it were received.
 * - "Not run" is reported only when every attempt definitely did not run.
 * - A non-idempotent request starts no further attempt while an earlier one may have run.
 */
export class RequestController implements Controller<RequestEvent, RequestEffect> {
  readonly #facts: RequestFacts;
  readonly #dependencies: RequestDependencies;
  readonly #lifecycle = new RequestLifecycle();
  readonly #answer: AnswerAssembler;
  readonly #tried = new Set<GroupName>();
  #follower: AttemptFollower | undefined;
  #attempts = 0;
  #lastStream = 0;
  #wakeAt: Milliseconds = 0;
  /** Whether an earlier attempt may have run. */
  #mayEarlierAttemptHaveRun = false;
  #claim: 'none' | 'asked' | 'held' | 'refused' = 'none';
  /** Undefined if crashes are not tracked. */
  readonly #crashes: RequestCrashes | undefined;
  /** Time until when the request waits for control to record a crash; undefined while it does not. */
  #heldUntil: Milliseconds | undefined;

  constructor(facts: RequestFacts, dependencies: RequestDependencies) {
    this.#facts = facts;
    this.#dependencies = dependencies;
    this.#answer = new AnswerAssembler(dependencies.limits.maximumAnswerBytes);
    const { crashLedger } = dependencies;
    const { crashSubjects = [] } = facts;
    this.#crashes =
      crashLedger === undefined ? undefined : new RequestCrashes(crashLedger, () => crashSubjects);
  }

  get stage(): RequestStage {
    return this.#lifecycle.stage;
  }

  /** Attempts sent so far. */
  get attempts(): number {
    return this.#attempts;
  }

  handle(event: RequestEvent): readonly RequestEffect[] {
    if (this.stage === 'done') {
      return this.#handleAfterFinalAnswer(event);
    }
    switch (event.type) {
      case 'arrived':
        return this.#arrive(event.now);
      case 'claimAnswered':
        return this.#handleClaimAnswer(event);
      case 'askAnswered':
        return this.#passToFollower(event, (follower) =>
          follower.handleAskAnswer(event.state, event.now),
        );
      case 'askFailed':
        return this.#passToFollower(event, (follower) => follower.handleAskFailure(event.now));
      case 'callerGone':
        return this.#abort('cancelled');
      case 'shutDown':
        return this.#abort('stopping');
      case 'callerSlow':
        this.#follower?.setCallerSlow(event.isSlow, event.now);
        return [];
      case 'tick':
        return this.#tick(event.now);
      case 'accepted':
      case 'refused':
      case 'head':
      case 'data':
      case 'keepAlive':
      case 'ended':
      case 'closed':
        return this.#handleStream(event);
      default:
        return assertNever(event);
    }
  }

  /** After the final answer only a late claim needs handling: its key is released. */
  #handleAfterFinalAnswer(event: RequestEvent): readonly RequestEffect[] {
    const isLateClaim =
      event.type === 'claimAnswered' && event.code === 'ok' && this.#claim === 'asked';
    return isLateClaim ? [{ type: 'settle', outcome: 'notRun' }] : [];
  }

  #arrive(now: Milliseconds): readonly RequestEffect[] {
    this.#dependencies.retryBudget.noteRequest(this.#facts.account);
    if (this.#facts.claim === undefined) {
      return this.#choose(now);
    }
    this.#lifecycle.step('claimSent');
    this.#claim = 'asked';
    this.#wakeAt = now + this.#dependencies.limits.claimTimeout;
    return [{ type: 'claim' }];
  }

  #handleClaimAnswer(event: EventOf<'claimAnswered'>): readonly RequestEffect[] {
    if (this.stage !== 'claiming') {
      return [];
    }
    if (event.code === 'ok') {
      this.#claim = 'held';
      return this.#choose(event.now);
    }
    if (event.code !== 'claimUnavailable') {
      this.#claim = 'refused';
    }
    return this.#fail(event.code, event.retryAfter);
  }

  #choose(now: Milliseconds): readonly RequestEffect[] {
    this.#lifecycle.step('choose');
    const assessment = this.#crashes?.assess(now, this.#attempts === 0) ?? 'harmless';
    if (assessment === 'quarantined') {
      return this.#fail('requestQuarantined');
    }
    if (assessment === 'unrecorded' && !this.#mayHaveRun()) {
      return this.#hold(now);
    }
    const decision = this.#dependencies.router.choose(this.#facts.route, this.#tried, now);
    return decision.type === 'none'
      ? this.#fail(decision.code, defaultRetryAfter)
      : this.#send(decision.target, decision.revision, now);
  }

  #send(
    target: AttemptTarget,
    configurationRevision: Revision,
    now: Milliseconds,
  ): readonly RequestEffect[] {
    const { isNonIdempotent, deadline } = this.#facts;
    this.#lifecycle.step('attemptSent');
    this.#attempts += 1;
    this.#lastStream += 1;
    this.#crashes?.noteSent(now);
    const attempt = this.#attempts;
    const stream = this.#lastStream;
    this.#follower = new AttemptFollower(
      { number: attempt, target, stream, sentAt: now, isNonIdempotent },
      { answer: this.#answer, loads: this.#dependencies.loads, limits: this.#dependencies.limits },
    );
    this.#dependencies.loads.noteStarted(target.group, now);
    const remaining = deadline - now;
    return [{ type: 'run', stream, attempt, target, configurationRevision, remaining }];
  }

  #handleStream(event: StreamEvent): readonly RequestEffect[] {
    const follower = this.#follower;
    if (follower === undefined) {
      return [];
    }
    const effects = this.#applyResult(follower.handleStream(event), event.now);
    return event.type === 'refused'
      ? [...this.#noticeRevision(event.refusal.configurationRevision), ...effects]
      : effects;
  }

  /** Passes the result of a query to the follower; results for earlier attempts are ignored. */
  #passToFollower(
    event: { readonly attempt: number; readonly now: Milliseconds },
    handle: (follower: AttemptFollower) => FollowResult,
  ): readonly RequestEffect[] {
    const isCurrent = event.attempt === this.#attempts;
    return this.#follower === undefined || !isCurrent
      ? []
      : this.#applyResult(handle(this.#follower), event.now);
  }

  #applyResult(result: FollowResult, now: Milliseconds): readonly RequestEffect[] {
    switch (result.type) {
      case 'pending':
        return result.effects;
      case 'whole':
        if (!this.#answer.isFailure) {
          this.#crashes?.noteAnswered(now);
        }
        return this.#finish(result.effects, 'ran');
      case 'notRun':
        this.#crashes?.noteNotRun(now);
        return [...result.effects, ...this.#retry(result.code, result.retryAfter, now)];
      case 'lost':
        if (result.crash !== undefined) {
          this.#crashes?.noteCrash(result.crash, now);
        }
        return [...result.effects, ...this.#recover(result.code, now)];
      default:
        return assertNever(result);
    }
  }

  /** The current attempt may have run: retries only if running twice does no harm. */
  #recover(code: ResultCodeName, now: Milliseconds): readonly RequestEffect[] {
    const isRerunnable = !this.#facts.isNonIdempotent && code !== 'answerTooLarge';
    return isRerunnable ? this.#retry(code, defaultRetryAfter, now) : this.#fail(code);
  }

  #retry(
    code: ResultCodeName,
    retryAfter: Milliseconds,
    now: Milliseconds,
  ): readonly RequestEffect[] {
    const { limits, router, retryBudget } = this.#dependencies;
    this.#closeAttempt();
    if (this.#answer.hasStarted || this.#attempts >= limits.maximumAttempts) {
      return this.#fail(code, retryAfter);
    }
    if (this.#crashes?.assess(now, false) === 'quarantined') {
      return this.#fail('requestQuarantined');
    }
    this.#answer.reset();
    this.#lifecycle.step('choose');
    if (neverArrivedCodes.has(code)) {
      this.#tried.clear();
    }
    if (code === 'staleConfiguration') {
      return this.#postpone(now);
    }
    const decision = router.choose(this.#facts.route, this.#tried, now);
    if (decision.type === 'none') {
      return temporaryCodes.has(code) ? this.#postpone(now) : this.#fail(code, retryAfter);
    }
    if (!neverArrivedCodes.has(code) && !retryBudget.spend(this.#facts.account)) {
      return this.#fail(code === 'overloaded' ? code : 'retryBudgetSpent', retryAfter);
    }
    return this.#send(decision.target, decision.revision, now);
  }

  /** Waits for control to record a crash, or to decide on a trial. */
  #hold(now: Milliseconds): readonly RequestEffect[] {
    const { limits } = this.#dependencies;
    const heldUntil = this.#heldUntil ?? now + limits.crashRecordTimeout;
    this.#heldUntil = heldUntil;
    if (now >= heldUntil) {
      return this.#fail('crashUnrecorded', defaultRetryAfter);
    }
    this.#lifecycle.step('postpone');
    this.#wakeAt = now + limits.initialBackoff;
    return [];
  }

  /** Waits for a newer view, or for a group to be whole again; all groups may then be tried again. */
  #postpone(now: Milliseconds): readonly RequestEffect[] {
    this.#lifecycle.step('postpone');
    this.#tried.clear();
    this.#wakeAt = now + this.#dependencies.limits.initialBackoff * 2 ** (this.#attempts - 1);
    return [];
  }

  #tick(now: Milliseconds): readonly RequestEffect[] {
    if (now >= this.#facts.deadline) {
      return this.#abort(this.#mayHaveRun() ? 'deadlineAfterStart' : 'deadlineBeforeStart');
    }
    switch (this.stage) {
      case 'attempting':
        return this.#follower === undefined ? [] : this.#applyResult(this.#follower.tick(now), now);
      case 'waiting':
        return now < this.#wakeAt ? [] : this.#choose(now);
      case 'claiming':
        return now < this.#wakeAt ? [] : this.#fail('claimUnavailable', defaultRetryAfter);
      case 'new':
      case 'choosing':
      case 'done':
        return [];
    }
  }

  /** Cancels the current attempt and sends the final answer without waiting for it. */
  #abort(code: ResultCodeName): readonly RequestEffect[] {
    return [...(this.#follower?.cancel() ?? []), ...this.#fail(code, defaultRetryAfter)];
  }

  /** Sends the final failure; a "not run" code is replaced by an "unknown" one if an attempt may have run. */
  #fail(code: ResultCodeName, retryAfter?: Milliseconds): readonly RequestEffect[] {
    const mayHaveRun = this.#mayHaveRun();
    const contradictsNotRun = resultCodes[code].outcome === 'notRun' && mayHaveRun;
    const reportedCode = contradictsNotRun ? 'answerLost' : code;
    const detail = contradictsNotRun ? `The last attempt: ${resultCodes[code].message}` : '';
    const failure = createFailure(
      reportedCode,
      detail,
      this.#computeRetryAfter(reportedCode, retryAfter),
    );
    const hasStarted = this.#answer.hasStarted;
    const outcome = mayHaveRun ? 'unknown' : 'notRun';
    return this.#finish([{ type: 'answerFailure', failure, hasStarted }], outcome);
  }

  #computeRetryAfter(
    code: ResultCodeName,
    retryAfter: Milliseconds | undefined,
  ): Milliseconds | undefined {
    if (retryAfter === undefined || !resultCodes[code].retryable) {
      return undefined;
    }
    return retryAfter * (1 + retryAfterJitter * this.#dependencies.random.fraction());
  }

  /** Also settles a claim that may still be committed, so that its key does not stay claimed. */
  #finish(effects: readonly RequestEffect[], outcome: ClaimOutcome): readonly RequestEffect[] {
    const isSettled = this.#claim === 'held' || this.#claim === 'asked';
    this.#closeAttempt();
    this.#crashes?.noteOver();
    this.#lifecycle.step('finish');
    return isSettled ? [...effects, { type: 'settle', outcome }] : effects;
  }

  #mayHaveRun(): boolean {
    return this.#mayEarlierAttemptHaveRun || this.#follower?.mayHaveRun === true;
  }

  /** Ends the current attempt and remembers whether it may have run. */
  #closeAttempt(): void {
    const follower = this.#follower;
    if (follower !== undefined) {
      this.#mayEarlierAttemptHaveRun ||= follower.mayHaveRun;
      this.#lastStream = follower.stream;
      this.#dependencies.loads.noteFinished(follower.target.group);
      this.#tried.add(follower.target.group);
      this.#follower = undefined;
    }
  }

  #noticeRevision(revision: Revision): readonly RequestEffect[] {
    const isBehind = revision > this.#dependencies.router.revision;
    return isBehind ? [{ type: 'noticeRevision', revision }] : [];
  }
}
