import {
  assertNever,
  resultCodes,
  type Milliseconds,
  type ResultCodeName,
} from '../common/index.js';
import type { AttemptState, Load } from '../model/index.js';
import type { AnswerAssembler } from './answer-assembler.js';
import type { RequestLimits } from './limits.js';
import type { LoadBook } from './load-book.js';
import type { AttemptTarget, RequestEffect, StreamEvent, StreamNumber } from './messages.js';
import { FollowLifecycle } from './request-machine.js';

type StreamEventOf<Type extends StreamEvent['type']> = Extract<
  StreamEvent,
  { readonly type: Type }
>;

/** What comes of an event for the attempt, with what the shell has to do for it. */
export type Followed = { readonly effects: readonly RequestEffect[] } & (
  | { readonly type: 'goesOn' }
  /** Its end and every byte before it were seen. */
  | { readonly type: 'whole' }
  /** It definitely did not run and will not run. */
  | { readonly type: 'unrun'; readonly code: ResultCodeName; readonly retryAfter: Milliseconds }
  /** It may have run, and its answer cannot be had any more. */
  | { readonly type: 'lost'; readonly code: ResultCodeName }
);

/** One attempt to follow. */
export interface FollowedAttempt {
  readonly number: number;
  readonly target: AttemptTarget;
  /** The stream of its Run call. */
  readonly stream: StreamNumber;
  readonly sentAt: Milliseconds;
  readonly isNonIdempotent: boolean;
}

/** What following an attempt needs. */
export interface FollowSurroundings {
  readonly answer: AnswerAssembler;
  readonly loads: LoadBook;
  readonly limits: RequestLimits;
}

const defaultRetryAfter: Milliseconds = 1000;
/** A longer time between two ticks means that this very process stood still. */
const longestTickGap: Milliseconds = 300;

/**
 * Follows one attempt over as many connections as it takes, until it is whole, definitely not run, or lost.
 *
 * Open connections can go silent for good while new ones work. The sidecar sends keep-alives, so silence is noticed; the
 * connection is retired and the attempt is asked after on a new one. Only the answer to that question decides.
 */
export class AttemptFollower {
  readonly #attempt: FollowedAttempt;
  readonly #shared: FollowSurroundings;
  readonly #lifecycle = new FollowLifecycle();
  #stream: StreamNumber;
  #lastHeard: Milliseconds;
  #lastTick: Milliseconds;
  #mayHaveRun = true;
  #isCallerSlow = false;
  #askingSince: Milliseconds | undefined;
  #isAskOpen = false;
  #askAgainAt: Milliseconds = 0;
  #resumesInVain = 0;

  constructor(attempt: FollowedAttempt, surroundings: FollowSurroundings) {
    this.#attempt = attempt;
    this.#shared = surroundings;
    this.#stream = attempt.stream;
    this.#lastHeard = attempt.sentAt;
    this.#lastTick = attempt.sentAt;
  }

  get target(): AttemptTarget {
    return this.#attempt.target;
  }

  /** The newest stream; events of an older one are ignored. */
  get stream(): StreamNumber {
    return this.#stream;
  }

  /** Nothing definite says that it did not run. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Events of an older stream are ignored: what they would say is asked for, or comes again from an offset. */
  handleStream(event: StreamEvent): Followed {
    if (event.stream !== this.#stream || this.#lifecycle.stage !== 'reading') {
      return goOn();
    }
    if (event.type === 'closed') {
      return this.#takeClosing(event);
    }
    this.#lastHeard = event.now;
    this.#askingSince = undefined;
    switch (event.type) {
      case 'accepted':
      case 'keepAlive':
        this.#noteAlive(event.load, event.now);
        return goOn();
      case 'refused':
        return this.#takeRefusal(event);
      case 'head':
        this.#shared.answer.setHead(event.status, event.headers);
        return goOn();
      case 'data':
        return this.#takeData(event);
      case 'ended':
        return this.#takeEnd(event);
      default:
        return assertNever(event);
    }
  }

  takeAskAnswer(state: AttemptState, now: Milliseconds): Followed {
    if (this.#lifecycle.stage !== 'asking') {
      return goOn();
    }
    this.#isAskOpen = false;
    switch (state.type) {
      case 'neverSeen':
        return this.#endUnrun('tombstoned', defaultRetryAfter);
      case 'refused':
        return this.#endUnrun(state.code, defaultRetryAfter);
      case 'otherIncarnation':
        return this.#lose('answerLost');
      case 'running':
        return this.#resume(state, now);
      case 'ended':
        return resultCodes[state.code].outcome === 'notRun'
          ? this.#endUnrun(state.code, defaultRetryAfter)
          : this.#resume(state, now);
      default:
        return assertNever(state);
    }
  }

  takeAskFailure(now: Milliseconds): Followed {
    if (this.#lifecycle.stage !== 'asking') {
      return goOn();
    }
    this.#isAskOpen = false;
    this.#noteFailure(now);
    if (this.#isRerunnable() || this.#isAskingOver(now)) {
      return this.#lose('answerLost');
    }
    this.#askAgainAt = now + this.#shared.limits.askInterval;
    return goOn();
  }

  /** While the caller is slow the stream is not read, so silence on it means nothing. */
  setCallerSlow(isSlow: boolean, now: Milliseconds): void {
    this.#isCallerSlow = isSlow;
    this.#lastHeard = now;
  }

  tick(now: Milliseconds): Followed {
    this.#forgiveOwnPause(now);
    switch (this.#lifecycle.stage) {
      case 'reading':
        return this.#watchSilence(now);
      case 'asking':
        return this.#isAskOpen || now < this.#askAgainAt ? goOn() : goOn([this.#ask()]);
      case 'over':
        return goOn();
    }
  }

  /** Nothing more is read of it, and its sidecar is told. */
  cancel(): readonly RequestEffect[] {
    this.#lifecycle.step('finish');
    const { number, target } = this.#attempt;
    return [
      { type: 'dropStream', stream: this.#stream },
      { type: 'cancel', attempt: number, target },
    ];
  }

  #takeData(event: StreamEventOf<'data'>): Followed {
    const { answer } = this.#shared;
    const next = answer.size;
    if (event.offset > next || !answer.hasHead) {
      return this.#startAsking(event.now);
    }
    const fresh = event.bytes.subarray(next - event.offset);
    if (fresh.length === 0) {
      return goOn();
    }
    this.#resumesInVain = 0;
    if (next === 0 && answer.isStream) {
      this.#shared.loads.noteFirstToken(this.target.group, event.now - this.#attempt.sentAt);
    }
    const assembled = answer.append(fresh);
    return assembled.type === 'tooLarge' ? this.#lose('answerTooLarge') : goOn(assembled.effects);
  }

  #takeEnd(event: StreamEventOf<'ended'>): Followed {
    const { code, totalBytes, now, retryAfter } = event;
    if (resultCodes[code].outcome === 'notRun') {
      this.#noteFailure(now);
      return this.#endUnrun(code, retryAfter);
    }
    if (code !== 'ok') {
      return this.#lose(code);
    }
    if (totalBytes !== this.#shared.answer.size || !this.#shared.answer.hasHead) {
      return this.#startAsking(now);
    }
    this.#lifecycle.step('finish');
    return { type: 'whole', effects: this.#shared.answer.finish() };
  }

  #takeRefusal(event: StreamEventOf<'refused'>): Followed {
    const { refusal, now } = event;
    if (refusal.code === 'duplicateAttempt') {
      return this.#startAsking(now);
    }
    if (resultCodes[refusal.code].outcome !== 'notRun') {
      return this.#lose(refusal.code);
    }
    this.#noteAlive(refusal.load, now);
    return this.#endUnrun(refusal.code, refusal.retryAfter);
  }

  #takeClosing(event: StreamEventOf<'closed'>): Followed {
    const isRun = this.#stream === this.#attempt.stream;
    if (event.wasSent || !isRun) {
      return this.#startAsking(event.now);
    }
    this.#noteFailure(event.now);
    return this.#endUnrun('upstreamUnreachable', defaultRetryAfter);
  }

  /**
   * After this process stood still (a busy machine, a long collection, SIGSTOP) its timers run before its sockets are
   * read: every connection would look silent although the bytes are there. The pause does not count as silence.
   */
  #forgiveOwnPause(now: Milliseconds): void {
    const gap = now - this.#lastTick;
    this.#lastTick = now;
    if (gap > longestTickGap) {
      this.#lastHeard = Math.min(now, this.#lastHeard + gap);
    }
  }

  #watchSilence(now: Milliseconds): Followed {
    const isSilent = now - this.#lastHeard >= this.#shared.limits.silence;
    if (!isSilent || this.#isCallerSlow) {
      return goOn();
    }
    this.#noteFailure(now);
    const retired: RequestEffect = { type: 'retireConnection', stream: this.#stream };
    const followed = this.#startAsking(now);
    return { ...followed, effects: [retired, ...followed.effects] };
  }

  /** The stream is of no use any more: the attempt is asked after on another connection. */
  #startAsking(now: Milliseconds): Followed {
    this.#lifecycle.step('ask');
    this.#askingSince ??= now;
    if (this.#isAskingOver(now)) {
      return this.#lose('answerLost');
    }
    return goOn([{ type: 'dropStream', stream: this.#stream }, this.#ask()]);
  }

  #ask(): RequestEffect {
    this.#isAskOpen = true;
    return { type: 'ask', attempt: this.#attempt.number, target: this.target };
  }

  #resume(
    state: Extract<AttemptState, { readonly firstOffset: number }>,
    now: Milliseconds,
  ): Followed {
    const offset = this.#shared.answer.size;
    const isHeld = offset >= state.firstOffset && offset <= state.nextOffset;
    if (!isHeld || this.#resumesInVain >= this.#shared.limits.maximumResumes) {
      return this.#lose('answerBroken');
    }
    this.#lifecycle.step('resume');
    this.#stream += 1;
    this.#resumesInVain += 1;
    this.#lastHeard = now;
    const { number, target } = this.#attempt;
    return goOn([{ type: 'resume', stream: this.#stream, attempt: number, target, offset }]);
  }

  #endUnrun(code: ResultCodeName, retryAfter: Milliseconds): Followed {
    this.#lifecycle.step('finish');
    this.#mayHaveRun = false;
    const dropped: RequestEffect = { type: 'dropStream', stream: this.#stream };
    return { type: 'unrun', code, retryAfter, effects: [dropped] };
  }

  #lose(code: ResultCodeName): Followed {
    return { type: 'lost', code, effects: this.cancel() };
  }

  /** Whether another attempt may follow this one although this one may have run. */
  #isRerunnable(): boolean {
    return !this.#attempt.isNonIdempotent && !this.#shared.answer.hasStarted;
  }

  #isAskingOver(now: Milliseconds): boolean {
    return now - (this.#askingSince ?? now) >= this.#shared.limits.askLimit;
  }

  #noteAlive(load: Load, now: Milliseconds): void {
    this.#shared.loads.noteReport(this.target.group, load, now);
    this.#shared.loads.noteAlive(this.target.group);
  }

  #noteFailure(now: Milliseconds): void {
    this.#shared.loads.noteFailure(this.target.group, now);
  }
}

function goOn(effects: readonly RequestEffect[] = []): Followed {
  return { type: 'goesOn', effects };
}
