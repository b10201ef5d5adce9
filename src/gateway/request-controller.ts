import {
  assertNever,
  createFailure,
  resultCodes,
  type Controller,
  type Milliseconds,
  type ResultCodeName,
} from '../common/index.js';
import type { AttemptState, GroupName, Load } from '../model/index.js';
import { AnswerAssembler } from './answer-assembler.js';
import type { ClaimOutcome } from './claims.js';
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

/** Times and bounds of one request. */
export interface RequestLimits {
  /** Silence after which a connection is taken for lost: a few keep-alives of the sidecar. */
  readonly silence: Milliseconds;
  /** How long an attempt is asked after before its outcome is called unknown. */
  readonly askLimit: Milliseconds;
  /** Pause between two questions. */
  readonly askInterval: Milliseconds;
  /** How long a claim may take before the answer is "not run". */
  readonly claimLimit: Milliseconds;
  /** Attempts for one request, the first included. */
  readonly maximumAttempts: number;
  /** Resumes of one attempt that may bring no new byte in a row. */
  readonly maximumResumes: number;
  /** First pause while a newer configuration or placement is awaited; doubles with each attempt. */
  readonly firstPause: Milliseconds;
  readonly maximumAnswerBytes: number;
}

/** Silence is four keep-alives of a sidecar. */
export const defaultRequestLimits: RequestLimits = {
  silence: 1000,
  askLimit: 5000,
  askInterval: 200,
  claimLimit: 1500,
  maximumAttempts: 5,
  maximumResumes: 8,
  firstPause: 50,
  maximumAnswerBytes: 8 * 1024 * 1024,
};

/** What the requests of one gateway share. */
export interface RequestSurroundings {
  readonly router: Router;
  readonly loads: LoadBook;
  readonly retryBudget: RetryBudget;
  readonly limits: RequestLimits;
}

const defaultRetryAfter: Milliseconds = 1000;

/** Refusals that say that the gateway's own view is old: the same group may do once the view is newer. */
const staleViewCodes: ReadonlySet<ResultCodeName> = new Set([
  'staleConfiguration',
  'staleFencingNumber',
  'staleIncarnation',
  'unknownGroup',
]);

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
  #attempt = 0;
  #stream = 0;
  #target: AttemptTarget | undefined;
  #sentAt: Milliseconds = 0;
  #lastHeard: Milliseconds = 0;
  #isCallerSlow = false;
  #askingSince: Milliseconds | undefined;
  #isAskOpen = false;
  /** Resumes since the last new byte. */
  #fruitlessResumes = 0;
  #wakeAt: Milliseconds = 0;
  /** The present attempt was sent, and nothing definite says that it did not run. */
  #isPresentOpen = false;
  /** Some earlier attempt may have run. */
  #mayEarlierHaveRun = false;
  #isClaimed = false;

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
    return this.#attempt;
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
        return this.#takeAskAnswer(event);
      case 'askFailed':
        return this.#takeAskFailure(event);
      case 'callerGone':
        return this.#leaveCaller();
      case 'callerSlow':
        this.#isCallerSlow = event.isSlow;
        this.#lastHeard = event.now;
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
    const isLateClaim = event.type === 'claimAnswered' && event.code === 'ok' && !this.#isClaimed;
    return isLateClaim ? [{ type: 'settle', outcome: 'notRun' }] : [];
  }

  #arrive(now: Milliseconds): readonly RequestEffect[] {
    this.#shared.retryBudget.noteRequest();
    if (this.#facts.claim === undefined) {
      return this.#chooseFirst(now);
    }
    this.#lifecycle.step('claimSent');
    this.#wakeAt = now + this.#shared.limits.claimLimit;
    return [{ type: 'claim' }];
  }

  #takeClaim(event: EventOf<'claimAnswered'>): readonly RequestEffect[] {
    if (this.stage !== 'claiming') {
      return [];
    }
    if (event.code !== 'ok') {
      return this.#fail(event.code, event.retryAfter);
    }
    this.#isClaimed = true;
    return this.#chooseFirst(event.now);
  }

  #chooseFirst(now: Milliseconds): readonly RequestEffect[] {
    this.#lifecycle.step('choose');
    const verdict = this.#shared.router.choose(this.#facts.route, this.#tried, now);
    return verdict.type === 'none'
      ? this.#fail(verdict.code, defaultRetryAfter)
      : this.#send(verdict.target, verdict.revision, now);
  }

  #send(target: AttemptTarget, revision: number, now: Milliseconds): readonly RequestEffect[] {
    this.#lifecycle.step('attemptSent');
    this.#attempt += 1;
    this.#stream += 1;
    this.#target = target;
    this.#sentAt = now;
    this.#lastHeard = now;
    this.#askingSince = undefined;
    this.#fruitlessResumes = 0;
    this.#isPresentOpen = true;
    this.#shared.loads.noteStarted(target.group);
    return [
      {
        type: 'run',
        stream: this.#stream,
        attempt: this.#attempt,
        target,
        configurationRevision: revision,
        remaining: this.#facts.deadline - now,
      },
    ];
  }

  /** Events of an older stream are ignored: what they would say is asked for, or comes again from an offset. */
  #handleStream(event: StreamEvent): readonly RequestEffect[] {
    const isPresent = this.stage === 'sent' || this.stage === 'running';
    if (event.stream !== this.#stream || !isPresent) {
      return [];
    }
    this.#lastHeard = event.now;
    if (event.type !== 'closed') {
      this.#askingSince = undefined;
    }
    switch (event.type) {
      case 'accepted':
        this.#lifecycle.step('accepted');
        this.#noteAlive(event.load, event.now);
        return [];
      case 'keepAlive':
        this.#noteAlive(event.load, event.now);
        return [];
      case 'refused':
        return this.#takeRefusal(event);
      case 'head':
        this.#answer.setHead(event.status, event.headers);
        return [];
      case 'data':
        return this.#takeData(event.offset, event.bytes, event.now);
      case 'ended':
        return this.#takeEnd(event);
      case 'closed':
        return this.#takeClosing(event.wasSent, event.now);
      default:
        return assertNever(event);
    }
  }

  #takeData(offset: number, bytes: Uint8Array, now: Milliseconds): readonly RequestEffect[] {
    const next = this.#answer.size;
    if (offset > next) {
      return this.#startAsking(now);
    }
    const fresh = bytes.subarray(next - offset);
    if (fresh.length === 0) {
      return [];
    }
    this.#fruitlessResumes = 0;
    if (next === 0 && this.#target !== undefined) {
      this.#shared.loads.noteFirstToken(this.#target.group, now - this.#sentAt);
    }
    const assembled = this.#answer.append(fresh);
    if (assembled.type === 'tooLarge') {
      return [...this.#cancelPresent(), ...this.#fail('answerTooLarge', undefined)];
    }
    return assembled.effects;
  }

  #takeEnd(event: Extract<StreamEvent, { readonly type: 'ended' }>): readonly RequestEffect[] {
    const { code, totalBytes, now, retryAfter } = event;
    if (resultCodes[code].outcome === 'notRun') {
      this.#noteFailure(now);
      return this.#retryUnrun(code, retryAfter, now);
    }
    if (code !== 'ok') {
      return this.#lose(code, now);
    }
    if (totalBytes !== this.#answer.size) {
      return this.#startAsking(now);
    }
    return this.#finish(this.#answer.finish(), 'ran');
  }

  #takeRefusal(
    event: Extract<StreamEvent, { readonly type: 'refused' }>,
  ): readonly RequestEffect[] {
    const { refusal, now } = event;
    if (refusal.code === 'duplicateAttempt') {
      return this.#startAsking(now);
    }
    if (resultCodes[refusal.code].outcome !== 'notRun') {
      return this.#lose(refusal.code, now);
    }
    this.#noteAlive(refusal.load, now);
    const effects = this.#retryUnrun(refusal.code, refusal.retryAfter, now);
    const isBehind = refusal.configurationRevision > this.#shared.router.revision;
    return isBehind
      ? [{ type: 'noticeRevision', revision: refusal.configurationRevision }, ...effects]
      : effects;
  }

  #takeClosing(wasSent: boolean, now: Milliseconds): readonly RequestEffect[] {
    if (wasSent) {
      return this.#startAsking(now);
    }
    if (this.#askingSince !== undefined) {
      return this.#startAsking(now);
    }
    this.#noteFailure(now);
    return this.#retryUnrun('upstreamUnreachable', defaultRetryAfter, now);
  }

  /** The connection is of no use any more: the attempt is asked after on another one. */
  #startAsking(now: Milliseconds): readonly RequestEffect[] {
    const target = this.#target;
    if (target === undefined || !this.#lifecycle.step('ask')) {
      return [];
    }
    this.#askingSince ??= now;
    const dropped: RequestEffect = { type: 'dropStream', stream: this.#stream };
    if (now - this.#askingSince >= this.#shared.limits.askLimit) {
      return [dropped, ...this.#lose('answerLost', now)];
    }
    this.#isAskOpen = true;
    return [dropped, { type: 'ask', attempt: this.#attempt, target }];
  }

  #takeAskAnswer(event: EventOf<'askAnswered'>): readonly RequestEffect[] {
    const { state, now } = event;
    if (this.stage !== 'asking' || event.attempt !== this.#attempt) {
      return [];
    }
    this.#isAskOpen = false;
    switch (state.type) {
      case 'neverSeen':
        return this.#retryUnrun('tombstoned', defaultRetryAfter, now);
      case 'refused':
        return this.#retryUnrun(state.code, defaultRetryAfter, now);
      case 'otherIncarnation':
        return this.#lose('answerLost', now);
      case 'running':
        return this.#resume(state, now);
      case 'ended':
        return resultCodes[state.code].outcome === 'notRun'
          ? this.#retryUnrun(state.code, defaultRetryAfter, now)
          : this.#resume(state, now);
      default:
        return assertNever(state);
    }
  }

  #resume(
    state: Extract<AttemptState, { readonly firstOffset: number }>,
    now: Milliseconds,
  ): readonly RequestEffect[] {
    const target = this.#target;
    const offset = this.#answer.size;
    const isHeld = offset >= state.firstOffset && offset <= state.nextOffset;
    const isFruitless = this.#fruitlessResumes >= this.#shared.limits.maximumResumes;
    if (target === undefined || !isHeld || isFruitless) {
      return this.#lose('answerBroken', now);
    }
    this.#lifecycle.step('resumed');
    this.#fruitlessResumes += 1;
    this.#stream += 1;
    this.#lastHeard = now;
    return [{ type: 'resume', stream: this.#stream, attempt: this.#attempt, target, offset }];
  }

  #takeAskFailure(event: EventOf<'askFailed'>): readonly RequestEffect[] {
    const { now } = event;
    if (this.stage !== 'asking' || event.attempt !== this.#attempt) {
      return [];
    }
    this.#isAskOpen = false;
    this.#noteFailure(now);
    const waited = now - (this.#askingSince ?? now);
    if (this.#isRerunnable() || waited >= this.#shared.limits.askLimit) {
      return this.#lose('answerLost', now);
    }
    this.#wakeAt = now + this.#shared.limits.askInterval;
    return [];
  }

  /** The present attempt definitely did not run. */
  #retryUnrun(
    code: ResultCodeName,
    retryAfter: Milliseconds,
    now: Milliseconds,
  ): readonly RequestEffect[] {
    this.#isPresentOpen = false;
    return this.#retry(code, retryAfter, now);
  }

  /** The present attempt may have run, and its answer cannot be had any more. */
  #lose(code: ResultCodeName, now: Milliseconds): readonly RequestEffect[] {
    const cancelled = this.#cancelPresent();
    if (!this.#isRerunnable()) {
      return [...cancelled, ...this.#fail(code, undefined)];
    }
    this.#mayEarlierHaveRun = true;
    this.#isPresentOpen = false;
    return [...cancelled, ...this.#retry(code, defaultRetryAfter, now)];
  }

  /** Whether an attempt that may have run can be followed by another one. */
  #isRerunnable(): boolean {
    return !this.#facts.isNonIdempotent && !this.#answer.hasStarted;
  }

  #retry(
    code: ResultCodeName,
    retryAfter: Milliseconds,
    now: Milliseconds,
  ): readonly RequestEffect[] {
    const { limits, router, retryBudget } = this.#shared;
    this.#leaveTarget();
    if (this.#answer.hasStarted || this.#attempt >= limits.maximumAttempts) {
      return this.#fail(code, retryAfter);
    }
    this.#answer.reset();
    this.#lifecycle.step('choose');
    if (code === 'staleConfiguration') {
      return this.#postpone(now);
    }
    const verdict = router.choose(this.#facts.route, this.#tried, now);
    if (verdict.type === 'none') {
      return staleViewCodes.has(code) ? this.#postpone(now) : this.#fail(code, retryAfter);
    }
    if (!retryBudget.spend()) {
      return this.#fail(code === 'overloaded' ? code : 'retryBudgetSpent', retryAfter);
    }
    return this.#send(verdict.target, verdict.revision, now);
  }

  /** Waits for a newer view; every group may then be tried again. */
  #postpone(now: Milliseconds): readonly RequestEffect[] {
    this.#lifecycle.step('postpone');
    this.#tried.clear();
    this.#wakeAt = now + this.#shared.limits.firstPause * 2 ** (this.#attempt - 1);
    return [];
  }

  #tick(now: Milliseconds): readonly RequestEffect[] {
    if (now >= this.#facts.deadline) {
      const code = this.#mayHaveRun() ? 'deadlineAfterStart' : 'deadlineBeforeStart';
      return [...this.#cancelPresent(), ...this.#fail(code, defaultRetryAfter)];
    }
    switch (this.stage) {
      case 'sent':
      case 'running':
        return this.#watchSilence(now);
      case 'asking':
        return this.#isAskOpen || now < this.#wakeAt ? [] : this.#askAgain();
      case 'waiting':
        return now < this.#wakeAt ? [] : this.#chooseFirst(now);
      case 'claiming':
        return now < this.#wakeAt ? [] : this.#fail('claimUnavailable', defaultRetryAfter);
      case 'new':
      case 'choosing':
      case 'done':
        return [];
    }
  }

  #watchSilence(now: Milliseconds): readonly RequestEffect[] {
    const isSilent = now - this.#lastHeard >= this.#shared.limits.silence;
    if (!isSilent || this.#isCallerSlow) {
      return [];
    }
    this.#noteFailure(now);
    return [{ type: 'retireConnection', stream: this.#stream }, ...this.#startAsking(now)];
  }

  #askAgain(): readonly RequestEffect[] {
    if (this.#target === undefined) {
      return [];
    }
    this.#isAskOpen = true;
    return [{ type: 'ask', attempt: this.#attempt, target: this.#target }];
  }

  #leaveCaller(): readonly RequestEffect[] {
    return [...this.#cancelPresent(), ...this.#fail('cancelled', undefined)];
  }

  #cancelPresent(): readonly RequestEffect[] {
    if (this.#target === undefined || !this.#isPresentOpen) {
      return [];
    }
    return [
      { type: 'dropStream', stream: this.#stream },
      { type: 'cancel', attempt: this.#attempt, target: this.#target },
    ];
  }

  /** The one final answer when there is no whole one; "not run" turns into "unknown" where an attempt may have run. */
  #fail(code: ResultCodeName, retryAfter: Milliseconds | undefined): readonly RequestEffect[] {
    const isUntrue = resultCodes[code].outcome === 'notRun' && this.#mayHaveRun();
    const told = isUntrue ? 'answerLost' : code;
    const detail = isUntrue ? `The last attempt: ${resultCodes[code].message}` : '';
    const failure = createFailure(
      told,
      detail,
      resultCodes[told].retryable ? retryAfter : undefined,
    );
    const hasStarted = this.#answer.hasStarted;
    const outcome = this.#mayHaveRun() ? 'unknown' : 'notRun';
    return this.#finish([{ type: 'answerFailure', failure, hasStarted }], outcome);
  }

  #finish(effects: readonly RequestEffect[], outcome: ClaimOutcome): readonly RequestEffect[] {
    const wasClaiming = this.stage === 'claiming';
    this.#leaveTarget();
    this.#lifecycle.step('finish');
    const isSettled = this.#isClaimed || wasClaiming;
    return isSettled ? [...effects, { type: 'settle', outcome }] : effects;
  }

  #mayHaveRun(): boolean {
    return this.#isPresentOpen || this.#mayEarlierHaveRun;
  }

  /** The present attempt is over for this gateway. */
  #leaveTarget(): void {
    if (this.#target !== undefined) {
      this.#shared.loads.noteFinished(this.#target.group);
      this.#tried.add(this.#target.group);
      this.#target = undefined;
    }
  }

  #noteAlive(load: Load, now: Milliseconds): void {
    if (this.#target !== undefined) {
      this.#shared.loads.noteReport(this.#target.group, load, now);
      this.#shared.loads.noteAlive(this.#target.group);
    }
  }

  #noteFailure(now: Milliseconds): void {
    if (this.#target !== undefined) {
      this.#shared.loads.noteFailure(this.#target.group, now);
    }
  }
}
