import {
  assertNever,
  createFailure,
  resultCodes,
  type Failure,
  type Milliseconds,
  type ResultCodeName,
} from '../../common/index.js';
import type { Target, TargetChoice } from '../../dispatch/index.js';
import { findWaitEnd, startWaiting, waitWhileBusy, type WaitingPhase } from './delivery-wait.js';
import type { CrashAssessment } from '../crashes/index.js';
import { chooseRetryAfter, retryAtOnce } from './retry-after.js';

/** State machine that leads one request to exactly one final response; performs no I/O. */

/** With less remaining time than this, no attempt is worth starting. */
const minimumRun: Milliseconds = 30;

/** Properties of a request that are known before its first attempt. */
export interface DeliveryOptions {
  /** Whether it may run more than once: an idempotent request, or a resumable stream. */
  readonly isRetryable: boolean;
  /** Maximum number of upstreams to which it is sent, including the first. */
  readonly attempts: number;
  readonly startedAt: Milliseconds;
  /** The route's timeout or the caller's time limit, whichever comes first. */
  readonly deadline: Milliseconds;
}

/**
 * `queued`: the request goes by its rank among those that wait, and waits until `refuseAt` at most. `atOnce`: it is sent now or not at all.
 * `urgent`: it has already waited at another upstream, and is sent even if all upstreams are full.
 */
export type ChoiceMode =
  | { readonly type: 'queued'; readonly refuseAt: Milliseconds }
  | { readonly type: 'atOnce' }
  | { readonly type: 'urgent' };

/** Queries and actions that the controller depends on. */
export interface DeliveryDependencies {
  readonly choose: (
    tried: ReadonlySet<string>,
    now: Milliseconds,
    mode: ChoiceMode,
  ) => TargetChoice;
  /** Whether the target still serves what it was chosen for; true while it drains. */
  readonly isStillServing: (target: Target) => boolean;
  /** Whether the target accepts requests from this gateway. */
  readonly isAvailable: (target: Target, now: Milliseconds) => boolean;
  /** Whether the current attempt may have reached its upstream; false while its connection is still being opened. */
  readonly isSent: () => boolean;
  /** Takes one retry from the budget of the service; false if the budget is spent. */
  readonly spendRetry: () => boolean;
  /** What is known of crashes of upstreams that ran the request. */
  readonly assessCrashes: (now: Milliseconds) => CrashAssessment;
}

/** Inputs of the state machine. */
export type DeliveryEvent =
  | { readonly type: 'started'; readonly now: Milliseconds }
  /** Groups or instances changed, or a slot became free. */
  | { readonly type: 'targetsChanged'; readonly now: Milliseconds }
  /** The request is not expected to get a slot in time. */
  | {
      readonly type: 'slotRefused';
      readonly now: Milliseconds;
      readonly retryAfter: Milliseconds;
    }
  /** The time given by `wakeAt` has come. */
  | { readonly type: 'ticked'; readonly now: Milliseconds }
  /** No connection could be opened, so nothing was sent. */
  | { readonly type: 'unreachable'; readonly now: Milliseconds }
  /** The named targets have stalled: their streams are silent. The request may be running on one of them. */
  | {
      readonly type: 'stalled';
      readonly now: Milliseconds;
      readonly stalled: ReadonlySet<string>;
    }
  /** The upstream stated that it did not run the request. */
  | { readonly type: 'refused'; readonly now: Milliseconds }
  /** The upstream ran the request and responded with a server error, none of which has been forwarded yet. */
  | { readonly type: 'failed'; readonly now: Milliseconds }
  /** Bytes of the response have been forwarded to the caller. */
  | { readonly type: 'passedOn' }
  /** The response is complete. */
  | { readonly type: 'ended' }
  /** The response was interrupted, or none arrived. */
  | { readonly type: 'broken'; readonly now: Milliseconds }
  /** Quarantines have come into force, and the response has not begun. */
  | { readonly type: 'quarantined'; readonly now: Milliseconds }
  /** The process is about to end. */
  | { readonly type: 'stopped'; readonly now: Milliseconds }
  | { readonly type: 'callerLeft' };

/** Actions that the caller of `handle` must execute. */
export type DeliveryEffect =
  | { readonly type: 'send'; readonly target: Target; readonly remaining: Milliseconds }
  /** Abort the attempt in flight. */
  | { readonly type: 'cancel' }
  /** Ignore the rest of the response to the attempt in flight; keep its connection. */
  | { readonly type: 'discard' }
  /** Complete the response to the caller. */
  | { readonly type: 'finish' }
  /** Break the connection of a partly forwarded response, so that it does not look complete. */
  | { readonly type: 'cut'; readonly failure: Failure }
  | { readonly type: 'fail'; readonly failure: Failure };

type Phase =
  WaitingPhase | { readonly type: 'running'; readonly target: Target } | { readonly type: 'over' };

export class DeliveryController {
  readonly #options: DeliveryOptions;
  readonly #dependencies: DeliveryDependencies;
  readonly #tried = new Set<string>();
  /** Upstreams that the request may have reached; only further ones spend the retry budget. */
  readonly #reached = new Set<string>();
  #phase: Phase;
  /** Whether an attempt before the current one may have run. */
  #mayHaveRun = false;
  #isPassedOn = false;

  constructor(options: DeliveryOptions, dependencies: DeliveryDependencies) {
    this.#options = options;
    this.#dependencies = dependencies;
    this.#phase = startWaiting(options.startedAt, 'noServingGroup');
  }

  /** Number of upstreams to which the request has been sent. */
  get attemptCount(): number {
    return this.#tried.size;
  }

  get isWaiting(): boolean {
    return this.#phase.type === 'waiting';
  }

  get isOver(): boolean {
    return this.#phase.type === 'over';
  }

  /** Time at which the next `ticked` event is due; undefined after the final response. */
  get wakeAt(): Milliseconds | undefined {
    switch (this.#phase.type) {
      case 'waiting':
        return this.#findRefusalTime(this.#phase);
      case 'running':
        return this.#options.deadline;
      case 'over':
        return undefined;
    }
  }

  handle(event: DeliveryEvent): readonly DeliveryEffect[] {
    if (this.#phase.type === 'over') {
      return [];
    }
    switch (event.type) {
      case 'started':
        return this.#tryToSend(event.now);
      case 'targetsChanged':
        return this.#handleTargets(event.now);
      case 'slotRefused':
        return this.#phase.type === 'waiting'
          ? [this.#giveUp('overloaded', event.now, event.retryAfter)]
          : [];
      case 'ticked':
        return this.#handleTick(event.now);
      case 'stalled':
        return this.#handleStalledTarget(event.stalled, event.now);
      case 'unreachable':
        return this.#resendUnsent(event.now);
      case 'refused':
        return this.#resendUnstarted(event.now);
      case 'failed':
        return this.#handleFailure(event.now);
      case 'passedOn':
        this.#isPassedOn = true;
        return [];
      case 'ended':
        this.#phase = { type: 'over' };
        return [{ type: 'finish' }];
      case 'broken':
        this.#mayHaveRun = true;
        return this.#retryPossiblyStarted(event.now, 'answerBroken');
      case 'quarantined':
        return this.#handleQuarantine(event.now);
      case 'stopped':
        return this.#handleStop(event.now);
      case 'callerLeft': {
        const isRunning = this.#phase.type === 'running';
        this.#phase = { type: 'over' };
        return isRunning ? [{ type: 'cancel' }] : [];
      }
      default:
        return assertNever(event);
    }
  }

  #handleTargets(now: Milliseconds): readonly DeliveryEffect[] {
    switch (this.#phase.type) {
      case 'waiting':
        return this.#tryToSend(now);
      case 'running':
        return this.#handleLostTarget(this.#phase.target, now);
      case 'over':
        return [];
    }
  }

  /**
   * A group that has lost a member generates no more tokens, and does not report that for seconds. A retryable request continues on
   * another group at once; any other keeps waiting for the response of its upstream.
   */
  #handleLostTarget(target: Target, now: Milliseconds): readonly DeliveryEffect[] {
    const { isSent, isStillServing, isAvailable } = this.#dependencies;
    const isServing = isStillServing(target);
    if (!isSent()) {
      return isServing && isAvailable(target, now) ? [] : this.#withdraw(target, now);
    }
    if (isServing || this.#isBound(now)) {
      return [];
    }
    const replacement = this.#findReplacement(now, this.#tried, { type: 'urgent' });
    if (replacement !== undefined) {
      // Without a retry left, the head may still complete the response. Later changes and stalls try again.
      return this.#replaceAttempt({ type: 'cancel' }, replacement, now);
    }
    this.#mayHaveRun = true;
    return [{ type: 'cancel' }, ...this.#retryPossiblyStarted(now, 'groupBroken')];
  }

  #handleTick(now: Milliseconds): readonly DeliveryEffect[] {
    const phase = this.#phase;
    if (now >= this.#options.deadline) {
      const cancel: readonly DeliveryEffect[] =
        phase.type === 'running' ? [{ type: 'cancel' }] : [];
      const isSent = this.#mayHaveRun || (phase.type === 'running' && this.#dependencies.isSent());
      return [...cancel, this.#giveUp(isSent ? 'deadlineAfterStart' : 'overloaded', now)];
    }
    if (phase.type === 'waiting' && now >= findWaitEnd(phase, this.#options, this.#isPassedOn)) {
      return [this.#giveUp(phase.code, now)];
    }
    return [];
  }

  /** The caller can send the request to another process, unless it may have run. */
  #handleStop(now: Milliseconds): readonly DeliveryEffect[] {
    return this.#abandon('stopping', now, retryAtOnce);
  }

  /** Takes back an attempt that still waits for a connection; it does not count as one. */
  #withdraw(target: Target, now: Milliseconds): readonly DeliveryEffect[] {
    this.#tried.delete(target.key);
    return [{ type: 'cancel' }, ...this.#resendUnsent(now)];
  }

  /** Sends a request whose current attempt never left to another upstream. */
  #resendUnsent(now: Milliseconds): readonly DeliveryEffect[] {
    if (this.#phase.type === 'running') {
      this.#reached.delete(this.#phase.target.key);
    }
    return this.#resendUnstarted(now);
  }

  /** Sends a request whose current attempt certainly did not run to another upstream. */
  #resendUnstarted(now: Milliseconds): readonly DeliveryEffect[] {
    if (!this.#mayRetry(now)) {
      return [this.#giveUp('overloaded', now)];
    }
    this.#phase = startWaiting(now, 'overloaded');
    return this.#tryToSend(now);
  }

  /** Retries a request whose current attempt may have run, if it is retryable. */
  #retryPossiblyStarted(now: Milliseconds, code: ResultCodeName): readonly DeliveryEffect[] {
    if (!this.#options.isRetryable || !this.#mayRetry(now)) {
      return [this.#giveUp(code, now)];
    }
    this.#phase = startWaiting(now, code);
    return this.#tryToSend(now);
  }

  /**
   * Sends a retryable request to another upstream if one can accept it now; otherwise the caller receives the failure.
   * An instance that fails some of its requests may still report itself healthy; its callers would get failures while other instances
   * have free capacity.
   */
  #handleFailure(now: Milliseconds): readonly DeliveryEffect[] {
    if (this.#isPassedOn) {
      return [];
    }
    const replacement = this.#findReplacement(now, this.#tried, { type: 'atOnce' });
    return this.#replaceAttempt({ type: 'discard' }, replacement, now);
  }

  /**
   * A stalled upstream does not respond, and may resume only after the callers have left. A retryable request moves to a working upstream,
   * a stream continuing after its last event. Any other request stays, since the upstream may resume in time.
   */
  #handleStalledTarget(stalled: ReadonlySet<string>, now: Milliseconds): readonly DeliveryEffect[] {
    if (this.#phase.type !== 'running' || !stalled.has(this.#phase.target.key)) {
      return [];
    }
    if (!this.#dependencies.isSent()) {
      return [{ type: 'cancel' }, ...this.#resendUnsent(now)];
    }
    const excluded = new Set([...this.#tried, ...stalled]);
    const replacement = this.#findReplacement(now, excluded, { type: 'urgent' });
    return this.#replaceAttempt({ type: 'cancel' }, replacement, now);
  }

  /** Another target that can accept the request now; undefined if there is none, or if the request may not be sent again. */
  #findReplacement(
    now: Milliseconds,
    excluded: ReadonlySet<string>,
    mode: ChoiceMode,
  ): Target | undefined {
    if (!this.#options.isRetryable || !this.#mayMove(now)) {
      return undefined;
    }
    const choice = this.#dependencies.choose(excluded, now, mode);
    return choice.type === 'target' ? choice.target : undefined;
  }

  /** Nothing but the lost target can complete a partly forwarded response that may not move. The caller of any other can retry at once. */
  #isBound(now: Milliseconds): boolean {
    return !this.#options.isRetryable || (this.#isPassedOn && !this.#mayMove(now));
  }

  /** Whether a further attempt is allowed although the current one may have run. */
  #mayMove(now: Milliseconds): boolean {
    return this.#mayRetry(now) && this.#dependencies.assessCrashes(now) !== 'quarantined';
  }

  /** Replaces an attempt that may have run, if there is a replacement and a retry is left. */
  #replaceAttempt(
    ending: DeliveryEffect,
    replacement: Target | undefined,
    now: Milliseconds,
  ): readonly DeliveryEffect[] {
    if (replacement === undefined || !this.#dependencies.spendRetry()) {
      return [];
    }
    this.#mayHaveRun = true;
    return [ending, this.#start(replacement, now)];
  }

  /** An upstream that has not begun with a quarantined request is spared its crash. */
  #handleQuarantine(now: Milliseconds): readonly DeliveryEffect[] {
    if (this.#isPassedOn || this.#dependencies.assessCrashes(now) !== 'quarantined') {
      return [];
    }
    return this.#abandon('requestQuarantined', now);
  }

  /** Ends the request together with the attempt in flight. */
  #abandon(
    code: ResultCodeName,
    now: Milliseconds,
    retryAfter?: Milliseconds,
  ): readonly DeliveryEffect[] {
    const isRunning = this.#phase.type === 'running';
    this.#mayHaveRun ||= isRunning && this.#dependencies.isSent();
    const cancel: readonly DeliveryEffect[] = isRunning ? [{ type: 'cancel' }] : [];
    return [...cancel, this.#giveUp(code, now, retryAfter)];
  }

  #findRefusalTime(phase: WaitingPhase): Milliseconds {
    return Math.min(this.#options.deadline, findWaitEnd(phase, this.#options, this.#isPassedOn));
  }

  #mayRetry(now: Milliseconds): boolean {
    return this.#tried.size < this.#options.attempts && this.#options.deadline - now > minimumRun;
  }

  #tryToSend(now: Milliseconds): readonly DeliveryEffect[] {
    const phase = this.#phase;
    const waiting = phase.type === 'waiting' ? phase : startWaiting(now, 'noServingGroup');
    const assessment = this.#dependencies.assessCrashes(now);
    if (assessment === 'quarantined') {
      return [this.#giveUp('requestQuarantined', now)];
    }
    // Most requests that were in flight at a crash are harmless, so the retry that follows it does not wait for the record.
    if (assessment === 'unrecorded' && !this.#mayHaveRun) {
      this.#phase = { ...waiting, code: 'crashUnrecorded' };
      return [];
    }
    return this.#sendToChoice(waiting, now);
  }

  #sendToChoice(waiting: WaitingPhase, now: Milliseconds): readonly DeliveryEffect[] {
    const busy = waitWhileBusy(waiting, 'overloaded', now);
    const mode: ChoiceMode = this.#mayHaveRun
      ? { type: 'urgent' }
      : { type: 'queued', refuseAt: this.#findRefusalTime(busy) };
    const choice = this.#dependencies.choose(this.#tried, now, mode);
    switch (choice.type) {
      case 'none':
        this.#phase = { ...waiting, code: 'noServingGroup' };
        return [];
      case 'full':
        this.#phase = busy;
        return [];
      case 'paused':
        return this.#waitForPause(
          waitWhileBusy(waiting, 'upstreamsPaused', now),
          choice.until,
          now,
        );
      case 'evacuated':
        return [this.#giveUp('domainsEvacuated', now)];
      case 'target':
        return [this.#send(choice.target, now)];
    }
  }

  /** Waits for the end of a pause at `until`, or rejects the request at once if it could not wait that long. */
  #waitForPause(
    phase: WaitingPhase,
    until: Milliseconds,
    now: Milliseconds,
  ): readonly DeliveryEffect[] {
    const latest = Math.min(
      findWaitEnd(phase, this.#options, this.#isPassedOn),
      this.#options.deadline - minimumRun,
    );
    if (until > latest) {
      const retryAfter = chooseRetryAfter(this.#options.deadline - now, until - now);
      return [this.#giveUp('upstreamsPaused', now, retryAfter)];
    }
    this.#phase = phase;
    return [];
  }

  #send(target: Target, now: Milliseconds): DeliveryEffect {
    if (this.#reached.size > 0 && !this.#dependencies.spendRetry()) {
      return this.#giveUp('retryBudgetSpent', now);
    }
    return this.#start(target, now);
  }

  #start(target: Target, now: Milliseconds): DeliveryEffect {
    this.#tried.add(target.key);
    this.#reached.add(target.key);
    this.#phase = { type: 'running', target };
    return { type: 'send', target, remaining: this.#options.deadline - now };
  }

  /**
   * Ends the request with a failure; the failure says "not run" only if no attempt can have run.
   * `retryAfter`: when the caller should retry if the request did not run.
   */
  #giveUp(
    code: ResultCodeName,
    now: Milliseconds,
    retryAfter = chooseRetryAfter(this.#options.deadline - now),
  ): DeliveryEffect {
    this.#phase = { type: 'over' };
    if (this.#isPassedOn) {
      return { type: 'cut', failure: createFailure(code, '') };
    }
    const isKnownNotRun = !this.#mayHaveRun && resultCodes[code].outcome === 'notRun';
    const failure = isKnownNotRun
      ? createFailure(code, '', retryAfter)
      : createFailure(isReportedUnchanged(code) ? code : 'answerLost', '');
    return { type: 'fail', failure };
  }
}

/** Codes that the caller receives unchanged even if the request may have run; all others are replaced with `answerLost`. */
function isReportedUnchanged(code: ResultCodeName): boolean {
  return code === 'deadlineAfterStart' || code === 'requestQuarantined';
}
