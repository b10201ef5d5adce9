import {
  assertNever,
  resultCodes,
  type Milliseconds,
  type ResultCodeName,
} from '../common/index.js';
import type { AttemptState, Load } from '../model/index.js';
import type { AnswerAssembler } from './answer-assembler.js';
import type { RequestLimits } from './limits.js';
import type { LoadTracker } from './load-tracker.js';
import type { AttemptTarget, RequestEffect, StreamEvent, StreamNumber } from './messages.js';
import { FollowLifecycle } from './request-machine.js';

type StreamEventOf<Type extends StreamEvent['type']> = Extract<
  StreamEvent,
  { readonly type: Type }
>;

/** State of the attempt after an event, with the effects that the shell has to execute. */
export type FollowResult = { readonly effects: readonly RequestEffect[] } & (
  | { readonly type: 'pending' }
  /** The end and every byte before it were received. */
  | { readonly type: 'whole' }
  /** The attempt definitely did not run and never will. */
  | { readonly type: 'notRun'; readonly code: ResultCodeName; readonly retryAfter: Milliseconds }
  /** The attempt may have run, but its answer can no longer be obtained. */
  | {
      readonly type: 'lost';
      readonly code: ResultCodeName;
      /** Identifies the crash of the upstream that broke the answer, if that is known. */
      readonly crash?: string;
    }
);

export interface FollowedAttempt {
  readonly number: number;
  readonly target: AttemptTarget;
  /** The stream of its Run call. */
  readonly stream: StreamNumber;
  readonly sentAt: Milliseconds;
  readonly isNonIdempotent: boolean;
}

export interface FollowDependencies {
  readonly answer: AnswerAssembler;
  readonly loads: LoadTracker;
  readonly limits: RequestLimits;
}

const defaultRetryAfter: Milliseconds = 1000;
/** A longer gap between two ticks means that this process itself was paused. */
const maximumTickGap: Milliseconds = 300;

/**
 * Follows one attempt, over several connections if needed, until it is complete, definitely not run, or lost.
 *
 * An open connection can go silent for good while new ones work. Missing keep-alives of the sidecar reveal this. The
 * connection is then retired, and the state of the attempt is queried on a new one. Only that state decides the next
 * step.
 */
export class AttemptFollower {
  readonly #attempt: FollowedAttempt;
  readonly #dependencies: FollowDependencies;
  readonly #lifecycle = new FollowLifecycle();
  #stream: StreamNumber;
  #lastReceived: Milliseconds;
  #lastTick: Milliseconds;
  #mayHaveRun = true;
  #isCallerSlow = false;
  #askingSince: Milliseconds | undefined;
  #isAskOpen = false;
  #askAgainAt: Milliseconds = 0;
  #resumesWithoutProgress = 0;

  constructor(attempt: FollowedAttempt, dependencies: FollowDependencies) {
    this.#attempt = attempt;
    this.#dependencies = dependencies;
    this.#stream = attempt.stream;
    this.#lastReceived = attempt.sentAt;
    this.#lastTick = attempt.sentAt;
  }

  get target(): AttemptTarget {
    return this.#attempt.target;
  }

  /** The current stream; events of older streams are ignored. */
  get stream(): StreamNumber {
    return this.#stream;
  }

  /** True unless the attempt is known not to have run. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Events of older streams are ignored: their content is queried, or sent again from an offset. */
  handleStream(event: StreamEvent): FollowResult {
    if (event.stream !== this.#stream || this.#lifecycle.stage !== 'reading') {
      return continueWith();
    }
    if (event.type === 'closed') {
      return this.#handleClosed(event);
    }
    this.#lastReceived = event.now;
    this.#askingSince = undefined;
    switch (event.type) {
      case 'accepted':
      case 'keepAlive':
        this.#noteAlive(event.load, event.now);
        return continueWith();
      case 'refused':
        return this.#handleRefusal(event);
      case 'head':
        this.#dependencies.answer.setHead(event.status, event.headers);
        return continueWith();
      case 'data':
        return this.#handleData(event);
      case 'ended':
        return this.#handleEnd(event);
      default:
        return assertNever(event);
    }
  }

  handleAskAnswer(state: AttemptState, now: Milliseconds): FollowResult {
    if (this.#lifecycle.stage !== 'asking') {
      return continueWith();
    }
    this.#isAskOpen = false;
    switch (state.type) {
      case 'neverSeen':
        return this.#endNotRun('tombstoned', defaultRetryAfter);
      case 'refused':
        return this.#endNotRun(state.code, defaultRetryAfter);
      case 'otherIncarnation':
        return this.#abandon('answerLost');
      case 'running':
        return this.#resume(state, now);
      case 'ended':
        return resultCodes[state.code].outcome === 'notRun'
          ? this.#endNotRun(state.code, defaultRetryAfter)
          : this.#resume(state, now);
      default:
        return assertNever(state);
    }
  }

  handleAskFailure(now: Milliseconds): FollowResult {
    if (this.#lifecycle.stage !== 'asking') {
      return continueWith();
    }
    this.#isAskOpen = false;
    this.#noteFailure(now);
    if (this.#isRerunnable() || this.#hasAskTimedOut(now)) {
      return this.#abandon('answerLost');
    }
    this.#askAgainAt = now + this.#dependencies.limits.askInterval;
    return continueWith();
  }

  /** While the caller is slow the stream is not read, so its silence is ignored. */
  setCallerSlow(isSlow: boolean, now: Milliseconds): void {
    this.#isCallerSlow = isSlow;
    this.#lastReceived = now;
  }

  tick(now: Milliseconds): FollowResult {
    this.#excludeProcessPause(now);
    switch (this.#lifecycle.stage) {
      case 'reading':
        return this.#checkSilence(now);
      case 'asking':
        return this.#isAskOpen || now < this.#askAgainAt
          ? continueWith()
          : continueWith([this.#ask()]);
      case 'over':
        return continueWith();
    }
  }

  /** Stops reading the attempt and tells its sidecar. */
  cancel(): readonly RequestEffect[] {
    this.#lifecycle.step('finish');
    const { number, target } = this.#attempt;
    return [
      { type: 'dropStream', stream: this.#stream },
      { type: 'cancel', attempt: number, target },
    ];
  }

  #handleData(event: StreamEventOf<'data'>): FollowResult {
    const { answer } = this.#dependencies;
    const next = answer.receivedBytes;
    if (event.offset > next || !answer.hasHead) {
      return this.#startAsking(event.now);
    }
    const fresh = event.bytes.subarray(next - event.offset);
    if (fresh.length === 0) {
      return continueWith();
    }
    this.#resumesWithoutProgress = 0;
    if (next === 0 && answer.isStream) {
      this.#dependencies.loads.noteFirstToken(this.target.group, event.now - this.#attempt.sentAt);
    }
    const appended = answer.append(fresh);
    switch (appended.type) {
      case 'effects':
        return continueWith(appended.effects);
      case 'tooLarge':
        return this.#abandon('answerTooLarge');
      case 'faulty': {
        const lost = this.#abandon('answerBroken');
        return { ...lost, effects: [...appended.effects, ...lost.effects] };
      }
      default:
        return assertNever(appended);
    }
  }

  #handleEnd(event: StreamEventOf<'ended'>): FollowResult {
    const { code, totalBytes, now, retryAfter } = event;
    if (resultCodes[code].outcome === 'notRun') {
      this.#noteFailure(now);
      return this.#endNotRun(code, retryAfter);
    }
    if (code !== 'ok') {
      const { crash } = event;
      return crash === undefined ? this.#abandon(code) : { ...this.#abandon(code), crash };
    }
    if (
      totalBytes !== this.#dependencies.answer.receivedBytes ||
      !this.#dependencies.answer.hasHead
    ) {
      return this.#startAsking(now);
    }
    if (this.#dependencies.answer.isInsideEvent) {
      return this.#abandon('answerBroken');
    }
    this.#lifecycle.step('finish');
    return { type: 'whole', effects: this.#dependencies.answer.finish() };
  }

  #handleRefusal(event: StreamEventOf<'refused'>): FollowResult {
    const { refusal, now } = event;
    if (refusal.code === 'duplicateAttempt') {
      return this.#startAsking(now);
    }
    if (resultCodes[refusal.code].outcome !== 'notRun') {
      return this.#abandon(refusal.code);
    }
    this.#noteAlive(refusal.load, now);
    if (refusal.code === 'upstreamsPaused') {
      this.#dependencies.loads.notePause(this.target.group, refusal.retryAfter, now);
    }
    return this.#endNotRun(refusal.code, refusal.retryAfter);
  }

  #handleClosed(event: StreamEventOf<'closed'>): FollowResult {
    const isRun = this.#stream === this.#attempt.stream;
    if (event.wasSent || !isRun) {
      return this.#startAsking(event.now);
    }
    this.#noteFailure(event.now);
    return this.#endNotRun('upstreamUnreachable', defaultRetryAfter);
  }

  /**
   * After a pause of this process (busy machine, long garbage collection, SIGSTOP) timers run before sockets are read.
   * Every connection would look silent although data is waiting, so the pause does not count as silence.
   */
  #excludeProcessPause(now: Milliseconds): void {
    const gap = now - this.#lastTick;
    this.#lastTick = now;
    if (gap > maximumTickGap) {
      this.#lastReceived = Math.min(now, this.#lastReceived + gap);
    }
  }

  #checkSilence(now: Milliseconds): FollowResult {
    const isSilent = now - this.#lastReceived >= this.#dependencies.limits.silenceTimeout;
    if (!isSilent || this.#isCallerSlow) {
      return continueWith();
    }
    this.#noteFailure(now);
    const retired: RequestEffect = { type: 'retireConnection', stream: this.#stream };
    const followed = this.#startAsking(now);
    return { ...followed, effects: [retired, ...followed.effects] };
  }

  /** Drops the stream and queries the state of the attempt. */
  #startAsking(now: Milliseconds): FollowResult {
    this.#lifecycle.step('ask');
    this.#askingSince ??= now;
    if (this.#hasAskTimedOut(now)) {
      return this.#abandon('answerLost');
    }
    return continueWith([{ type: 'dropStream', stream: this.#stream }, this.#ask()]);
  }

  #ask(): RequestEffect {
    this.#isAskOpen = true;
    return { type: 'ask', attempt: this.#attempt.number, target: this.target };
  }

  #resume(
    state: Extract<AttemptState, { readonly firstOffset: number }>,
    now: Milliseconds,
  ): FollowResult {
    const offset = this.#dependencies.answer.receivedBytes;
    const isHeld = offset >= state.firstOffset && offset <= state.nextOffset;
    if (!isHeld || this.#resumesWithoutProgress >= this.#dependencies.limits.maximumResumes) {
      return this.#abandon('answerBroken');
    }
    this.#lifecycle.step('resume');
    this.#stream += 1;
    this.#resumesWithoutProgress += 1;
    this.#lastReceived = now;
    const { number, target } = this.#attempt;
    return continueWith([
      { type: 'resume', stream: this.#stream, attempt: number, target, offset },
    ]);
  }

  #endNotRun(code: ResultCodeName, retryAfter: Milliseconds): FollowResult {
    this.#lifecycle.step('finish');
    this.#mayHaveRun = false;
    const dropped: RequestEffect = { type: 'dropStream', stream: this.#stream };
    return { type: 'notRun', code, retryAfter, effects: [dropped] };
  }

  #abandon(code: ResultCodeName): Extract<FollowResult, { readonly type: 'lost' }> {
    return { type: 'lost', code, effects: this.cancel() };
  }

  /** Whether the request may be attempted again although this attempt may have run. */
  #isRerunnable(): boolean {
    return !this.#attempt.isNonIdempotent && !this.#dependencies.answer.hasStarted;
  }

  #hasAskTimedOut(now: Milliseconds): boolean {
    return now - (this.#askingSince ?? now) >= this.#dependencies.limits.askTimeout;
  }

  #noteAlive(load: Load, now: Milliseconds): void {
    this.#dependencies.loads.noteReport(this.target.group, load, now);
    this.#dependencies.loads.noteAlive(this.target.group);
  }

  #noteFailure(now: Milliseconds): void {
    this.#dependencies.loads.noteFailure(this.target.group, now);
  }
}

function continueWith(effects: readonly RequestEffect[] = []): FollowResult {
  return { type: 'pending', effects };
}
