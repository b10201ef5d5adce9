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
import { AttemptFollower, type Followed } from './attempt-follower.js';
import type { ClaimOutcome } from './claims.js';
import type { RequestLimits } from './limits.js';
import type { LoadBook } from './load-book.js';
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

/** What the requests of one gateway share. */
export interface RequestSurroundings {
  readonly router: Router;
  readonly loads: LoadBook;
  readonly retryBudget: RetryBudget;
  readonly random: RandomSource;
  readonly limits: RequestLimits;
}

const defaultRetryAfter: Milliseconds = 1000;
/** Retry-After is spread by this share, so that callers refused together do not come back together. */
const retrySpread = 0.5;

/** Refusals that say that the gateway's own view is old: the same group may do once the view is newer. */
const staleViewCodes: ReadonlySet<ResultCodeName> = new Set([
  'staleConfiguration',
  'staleFencingNumber',
  'staleIncarnation',
  'unknownGroup',
]);

/**
 * Ends of an attempt that say something of a connection only: the group may be tried again, though others go first.
 * Such a retry takes nothing from the retry budget, for no upstream has worked for the attempt. Otherwise a sidecar
 * that stands still for a second, with dozens of attempts on its connection, would spend the budget and fail the rest.
 */
const connectionCodes: ReadonlySet<ResultCodeName> = new Set(['tombstoned']);

/**
 * All decisions on one caller's request, from its arrival to its one final answer.
 *
 * The promises: only bytes of this request's attempts, in order, reach the caller; an answer is called whole only after
 * its end was seen and every byte before it; "not run" is said only when every attempt was definitely not run; a
 * non-idempotent request starts no further attempt while an earlier one may have run.
 */
export class RequestController implements Controller<RequestEvent, RequestEffect> {
  readonly #facts: RequestFacts;
  readonly #shared: RequestSurroundings;
  readonly #lifecycle = new RequestLifecycle();
  readonly #answer: AnswerAssembler;
  readonly #tried = new Set<GroupName>();
  #follower: AttemptFollower | undefined;
  #attempts = 0;
  #lastStream = 0;
  #wakeAt: Milliseconds = 0;
  /** Some earlier attempt may have run. */
  #mayEarlierHaveRun = false;
  #claim: 'none' | 'asked' | 'held' | 'refused' = 'none';

  constructor(facts: RequestFacts, surroundings: RequestSurroundings) {
    this.#facts = facts;
    this.#shared = surroundings;
    this.#answer = new AnswerAssembler(surroundings.limits.maximumAnswerBytes);
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
      return this.#handleLate(event);
    }
    switch (event.type) {
      case 'arrived':
        return this.#arrive(event.now);
      case 'claimAnswered':
        return this.#takeClaim(event);
      case 'askAnswered':
        return this.#follow(event, (follower) => follower.takeAskAnswer(event.state, event.now));
      case 'askFailed':
        return this.#follow(event, (follower) => follower.takeAskFailure(event.now));
      case 'callerGone':
        return this.#giveUp('cancelled');
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

  /** After the final answer only a claim that was committed late needs something done: its key is freed. */
  #handleLate(event: RequestEvent): readonly RequestEffect[] {
    const isLateClaim =
      event.type === 'claimAnswered' && event.code === 'ok' && this.#claim === 'asked';
    return isLateClaim ? [{ type: 'settle', outcome: 'notRun' }] : [];
  }

  #arrive(now: Milliseconds): readonly RequestEffect[] {
    this.#shared.retryBudget.noteRequest(this.#facts.account);
    if (this.#facts.claim === undefined) {
      return this.#choose(now);
    }
    this.#lifecycle.step('claimSent');
    this.#claim = 'asked';
    this.#wakeAt = now + this.#shared.limits.claimLimit;
    return [{ type: 'claim' }];
  }

  #takeClaim(event: EventOf<'claimAnswered'>): readonly RequestEffect[] {
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
    const verdict = this.#shared.router.choose(this.#facts.route, this.#tried, now);
    return verdict.type === 'none'
      ? this.#fail(verdict.code, defaultRetryAfter)
      : this.#send(verdict.target, verdict.revision, now);
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
    const attempt = this.#attempts;
    const stream = this.#lastStream;
    this.#follower = new AttemptFollower(
      { number: attempt, target, stream, sentAt: now, isNonIdempotent },
      { answer: this.#answer, loads: this.#shared.loads, limits: this.#shared.limits },
    );
    this.#shared.loads.noteStarted(target.group, now);
    const remaining = deadline - now;
    return [{ type: 'run', stream, attempt, target, configurationRevision, remaining }];
  }

  #handleStream(event: StreamEvent): readonly RequestEffect[] {
    const follower = this.#follower;
    if (follower === undefined) {
      return [];
    }
    const effects = this.#take(follower.handleStream(event), event.now);
    return event.type === 'refused'
      ? [...this.#noticeRevision(event.refusal.configurationRevision), ...effects]
      : effects;
  }

  /** Hands an answer about an attempt to its follower; one about an earlier attempt is ignored. */
  #follow(
    event: { readonly attempt: number; readonly now: Milliseconds },
    take: (follower: AttemptFollower) => Followed,
  ): readonly RequestEffect[] {
    const isPresent = event.attempt === this.#attempts;
    return this.#follower === undefined || !isPresent
      ? []
      : this.#take(take(this.#follower), event.now);
  }

  #take(followed: Followed, now: Milliseconds): readonly RequestEffect[] {
    switch (followed.type) {
      case 'goesOn':
        return followed.effects;
      case 'whole':
        return this.#finish(followed.effects, 'ran');
      case 'unrun':
        return [...followed.effects, ...this.#retry(followed.code, followed.retryAfter, now)];
      case 'lost':
        return [...followed.effects, ...this.#recover(followed.code, now)];
      default:
        return assertNever(followed);
    }
  }

  /** The present attempt may have run: another one may follow only where running twice does no harm. */
  #recover(code: ResultCodeName, now: Milliseconds): readonly RequestEffect[] {
    const isRerunnable = !this.#facts.isNonIdempotent && code !== 'answerTooLarge';
    return isRerunnable ? this.#retry(code, defaultRetryAfter, now) : this.#fail(code);
  }

  #retry(
    code: ResultCodeName,
    retryAfter: Milliseconds,
    now: Milliseconds,
  ): readonly RequestEffect[] {
    const { limits, router, retryBudget } = this.#shared;
    this.#leaveAttempt();
    if (this.#answer.hasStarted || this.#attempts >= limits.maximumAttempts) {
      return this.#fail(code, retryAfter);
    }
    this.#answer.reset();
    this.#lifecycle.step('choose');
    if (connectionCodes.has(code)) {
      this.#tried.clear();
    }
    if (code === 'staleConfiguration') {
      return this.#postpone(now);
    }
    const verdict = router.choose(this.#facts.route, this.#tried, now);
    if (verdict.type === 'none') {
      return staleViewCodes.has(code) ? this.#postpone(now) : this.#fail(code, retryAfter);
    }
    if (!connectionCodes.has(code) && !retryBudget.spend(this.#facts.account)) {
      return this.#fail(code === 'overloaded' ? code : 'retryBudgetSpent', retryAfter);
    }
    return this.#send(verdict.target, verdict.revision, now);
  }

  /** Waits for a newer view; every group may then be tried again. */
  #postpone(now: Milliseconds): readonly RequestEffect[] {
    this.#lifecycle.step('postpone');
    this.#tried.clear();
    this.#wakeAt = now + this.#shared.limits.firstPause * 2 ** (this.#attempts - 1);
    return [];
  }

  #tick(now: Milliseconds): readonly RequestEffect[] {
    if (now >= this.#facts.deadline) {
      return this.#giveUp(this.#mayHaveRun() ? 'deadlineAfterStart' : 'deadlineBeforeStart');
    }
    switch (this.stage) {
      case 'attempting':
        return this.#follower === undefined ? [] : this.#take(this.#follower.tick(now), now);
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

  /** The final answer goes out at once; what still runs is cancelled behind it. */
  #giveUp(code: ResultCodeName): readonly RequestEffect[] {
    return [...(this.#follower?.cancel() ?? []), ...this.#fail(code, defaultRetryAfter)];
  }

  /** The one final answer when there is no whole one; "not run" turns into "unknown" where an attempt may have run. */
  #fail(code: ResultCodeName, retryAfter?: Milliseconds): readonly RequestEffect[] {
    const mayHaveRun = this.#mayHaveRun();
    const isUntrue = resultCodes[code].outcome === 'notRun' && mayHaveRun;
    const told = isUntrue ? 'answerLost' : code;
    const detail = isUntrue ? `The last attempt: ${resultCodes[code].message}` : '';
    const failure = createFailure(told, detail, this.#findRetryAfter(told, retryAfter));
    const hasStarted = this.#answer.hasStarted;
    const outcome = mayHaveRun ? 'unknown' : 'notRun';
    return this.#finish([{ type: 'answerFailure', failure, hasStarted }], outcome);
  }

  #findRetryAfter(
    code: ResultCodeName,
    retryAfter: Milliseconds | undefined,
  ): Milliseconds | undefined {
    if (retryAfter === undefined || !resultCodes[code].retryable) {
      return undefined;
    }
    return retryAfter * (1 + retrySpread * this.#shared.random.fraction());
  }

  /** A claim that may still be committed is settled too, so that its key does not stay taken. */
  #finish(effects: readonly RequestEffect[], outcome: ClaimOutcome): readonly RequestEffect[] {
    const isSettled = this.#claim === 'held' || this.#claim === 'asked';
    this.#leaveAttempt();
    this.#lifecycle.step('finish');
    return isSettled ? [...effects, { type: 'settle', outcome }] : effects;
  }

  #mayHaveRun(): boolean {
    return this.#mayEarlierHaveRun || this.#follower?.mayHaveRun === true;
  }

  /** The present attempt is over for this gateway. */
  #leaveAttempt(): void {
    const follower = this.#follower;
    if (follower !== undefined) {
      this.#mayEarlierHaveRun ||= follower.mayHaveRun;
      this.#lastStream = follower.stream;
      this.#shared.loads.noteFinished(follower.target.group);
      this.#tried.add(follower.target.group);
      this.#follower = undefined;
    }
  }

  #noticeRevision(revision: Revision): readonly RequestEffect[] {
    const isBehind = revision > this.#shared.router.revision;
    return isBehind ? [{ type: 'noticeRevision', revision }] : [];
  }
}
