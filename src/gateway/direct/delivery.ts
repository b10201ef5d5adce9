import type { IncomingHttpHeaders } from 'node:http';

import { assertNever, type Failure, type Milliseconds } from '../../common/index.js';
import type { Dispatch, Target, TargetChoice, TargetCriteria } from '../../dispatch/index.js';
import { formatIdentity } from '../../routing/index.js';
import { isPlainBody } from '../../wire/index.js';
import { EventReader, findFirstNumber, type EventFault } from '../events/index.js';
import { isSuccess, isUpstreamFailure } from '../response-status.js';
import { DeliveryCrashes } from './delivery-crashes.js';
import {
  DeliveryController,
  type ChoiceMode,
  type DeliveryEffect,
  type DeliveryEvent,
} from './delivery-controller.js';
import type { ResponseWriter } from './response-writer.js';
import type { DeliveryOutcome } from './delivery-outcome.js';
import type { SharedDeliveryDependencies, ReceivedRequest } from './delivery-types.js';
import { QueuePlace } from './queue-place.js';
import { RequestTimer } from './request-times.js';
import type { TrackedStream } from './stream-progress.js';
import { UpstreamAttempt } from './upstream-attempt.js';
import type { SlotRefusal } from './waiting-requests.js';

/** Forwards one request to upstreams and the response to the caller, executing the decisions of the controller. */

/**
 * Priority of a request that moves to another upstream. It has already waited at the first one, and seconds in the queue of a full group
 * would make it late, or lose a partly forwarded stream.
 */
const highestPriority = 0;

/**
 * An upstream with a free slot processes most prompts within this time; anything longer is queueing. Counted as work, the queueing of a
 * model that is short of groups would inflate its demand, and groups would be placed where none are needed.
 */
const maximumPrefillTime: Milliseconds = 250;

export class Delivery {
  readonly #request: ReceivedRequest;
  readonly #dependencies: SharedDeliveryDependencies;
  readonly #responseWriter: ResponseWriter;
  /** What the choice of an upstream needs to know about the request. */
  readonly #work: Omit<TargetCriteria, 'tried' | 'isUrgent'>;
  readonly #controller: DeliveryController;
  /** Undefined if waiting requests are served newest first. */
  readonly #place: QueuePlace | undefined;
  readonly #onOutcome: (outcome: DeliveryOutcome) => void;
  #attempt: UpstreamAttempt | undefined;
  #stream: TrackedStream | undefined;
  #target: Target | undefined;
  #dispatch: Dispatch | undefined;
  /** Key of the last target, for the log. */
  #lastTarget: string | undefined;
  #wakeTimer: NodeJS.Timeout | undefined;
  readonly #timer: RequestTimer;
  #sentAt: Milliseconds = 0;
  /** Whether the response headers of the current attempt have arrived. */
  #hasResponseHead = false;
  /** Arrival of the first response bytes of the current attempt. */
  #firstDataAt: Milliseconds | undefined;
  readonly #crashes: DeliveryCrashes;

  constructor(
    request: ReceivedRequest,
    responseWriter: ResponseWriter,
    dependencies: SharedDeliveryDependencies,
    onOutcome: (outcome: DeliveryOutcome) => void,
  ) {
    this.#request = request;
    this.#responseWriter = responseWriter;
    this.#dependencies = dependencies;
    this.#onOutcome = onOutcome;
    this.#timer = new RequestTimer(request.startedAt);
    const { service, model, tokens, route, startedAt, deadline } = request;
    const isRetryable =
      route.kind === 'idempotent' || (route.kind === 'streaming' && route.isResumable);
    const { chooser } = dependencies;
    const objective = route.objective;
    this.#work = { service, model, tokens: tokens?.prompt, objective, startedAt };
    this.#place = this.#createPlace();
    this.#crashes = new DeliveryCrashes(request, dependencies);
    this.#controller = new DeliveryController(
      { isRetryable, attempts: route.attempts, startedAt, deadline },
      {
        choose: (tried, now, mode) => this.#choose(tried, now, mode),
        isStillServing: (target) => chooser.isStillServing(target),
        isAvailable: (target, now) => chooser.isAvailable(target, now),
        isSent: () => this.#attempt?.isSent ?? false,
        spendRetry: () => dependencies.spendRetry(service.name),
        assessCrashes: (now) => this.#crashes.assess(now, this.#controller.attemptCount === 0),
      },
    );
  }

  #createPlace(): QueuePlace | undefined {
    const { waiting, chooser } = this.#dependencies;
    return waiting === undefined
      ? undefined
      : new QueuePlace({
          request: this.#request,
          waiting,
          choose: (tried, now) => chooser.choose({ ...this.#work, tried }, now),
          onChanged: () => {
            this.#handle({ type: 'targetsChanged', now: this.#now() });
          },
          onRefused: (refusal) => {
            this.#handleRefusal(refusal);
          },
        });
  }

  #choose(tried: ReadonlySet<string>, now: Milliseconds, mode: ChoiceMode): TargetChoice {
    if (mode.type === 'queued' && this.#place !== undefined) {
      return this.#place.choose(tried, mode.refuseAt, now);
    }
    const isUrgent = mode.type === 'urgent';
    return this.#dependencies.chooser.choose({ ...this.#work, tried, isUrgent }, now);
  }

  #handleRefusal({ reason, position, expectedWait, retryAfter }: SlotRefusal): void {
    const wait = Number.isFinite(expectedWait) ? Math.round(expectedWait) : null;
    const fields = { code: 'overloaded', reason, position, expectedWait: wait, retryAfter };
    this.#logEvent('no slot for the request', fields);
    this.#handle({ type: 'slotRefused', now: this.#now(), retryAfter });
  }

  /** Whether it waits for an upstream that can accept it. */
  get isWaiting(): boolean {
    return this.#controller.isWaiting;
  }

  /** Whether it waits in a queue, and is told when there is a slot for it. */
  get isQueued(): boolean {
    return this.#place?.isQueued ?? false;
  }

  start(): void {
    this.#handle({ type: 'started', now: this.#now() });
  }

  /** Groups or instances changed, or a slot became free. */
  noteTargetsChanged(): void {
    const target = this.#target;
    const isSent = this.#attempt?.isSent === true;
    this.#handle({ type: 'targetsChanged', now: this.#now() });
    if (target !== undefined && isSent && this.#target !== target) {
      // Control may remove an upstream before its connections break; probe it so that its crash is not missed.
      this.#crashes.noteBroken(target);
    }
  }

  /**
   * An upstream accepts no more requests. Affects a request that is assigned to it but not sent yet; returns whether its attempt was
   * withdrawn.
   */
  noteUpstreamUnavailable(): boolean {
    const attempt = this.#attempt;
    if (attempt?.isSent !== false) {
      return false;
    }
    this.#handle({ type: 'targetsChanged', now: this.#now() });
    return this.#attempt !== attempt;
  }

  /** Quarantines have come into force. Takes the request back if it may still wait in the queue of its upstream, unless it is on trial. */
  noteQuarantined(): void {
    if (this.#crashes.subjectsOnTrial.length === 0 && this.#firstDataAt === undefined) {
      this.#handle({ type: 'quarantined', now: this.#now() });
    }
  }

  /** The named targets have stalled. */
  noteStalled(stalled: ReadonlySet<string>): void {
    const before = this.#target?.key;
    if (before === undefined || !stalled.has(before)) {
      return;
    }
    this.#handle({ type: 'stalled', now: this.#now(), stalled });
    if (this.#target !== undefined && this.#target.key !== before) {
      this.#logEvent('upstream stalled; request sent to another upstream', { before });
    }
  }

  /** The caller closed its connection. */
  noteCallerLeft(): void {
    if (!this.#controller.isOver) {
      this.#handle({ type: 'callerLeft' });
      this.#conclude('left');
    }
  }

  /** The process is about to end. */
  stop(): void {
    this.#handle({ type: 'stopped', now: this.#now() });
  }

  /** Stops reading from the upstream until the caller's connection has drained. */
  pauseReading(): void {
    this.#attempt?.pause();
    this.#stream?.pause();
  }

  /** The write buffer of the caller's connection has drained. */
  noteDrained(): void {
    this.#attempt?.resume();
    this.#stream?.resume(this.#now());
  }

  #now(): Milliseconds {
    return this.#dependencies.clock.monotonic();
  }

  #handle(event: DeliveryEvent): void {
    for (const effect of this.#controller.handle(event)) {
      this.#execute(effect);
    }
    this.#schedule();
    this.#place?.settle(this.#now());
  }

  #schedule(): void {
    clearTimeout(this.#wakeTimer);
    const { wakeAt } = this.#controller;
    if (wakeAt !== undefined) {
      this.#wakeTimer = setTimeout(
        () => {
          this.#dependencies.waiting?.dispatch(this.#now());
          this.#handle({ type: 'ticked', now: this.#now() });
        },
        Math.max(1, Math.ceil(wakeAt - this.#now())),
      );
    }
  }

  #execute(effect: DeliveryEffect): void {
    switch (effect.type) {
      case 'send':
        this.#send(effect.target, effect.remaining);
        return;
      case 'cancel':
        this.#attempt?.cancel();
        this.#releaseTarget();
        return;
      case 'discard':
        this.#attempt?.discard();
        this.#releaseTarget();
        return;
      case 'finish':
        this.#responseWriter.finish();
        this.#timer.noteForwarded(this.#now());
        if (this.#responseWriter.isSuccess) {
          this.#crashes.noteAnswered(this.#now());
        }
        this.#conclude('whole');
        return;
      case 'cut':
        this.#responseWriter.cut();
        this.#conclude(effect.failure.code);
        return;
      case 'fail':
        this.#noteRejection(effect.failure);
        this.#responseWriter.fail(effect.failure);
        this.#conclude(effect.failure.code);
        return;
      default:
        assertNever(effect);
    }
  }

  #send(target: Target, remaining: Milliseconds): void {
    const {
      chooser,
      connections,
      connectionLimit,
      dialect,
      loads,
      observer,
      onSentToLimited,
      permits,
      progress,
    } = this.#dependencies;
    const { method, path, rawHeaders, body, service, account, route, resumeAfter } = this.#request;
    const isFirst = this.#controller.attemptCount === 1 && !this.#responseWriter.isPassedOn;
    const headers = dialect.writeUpstreamHeaders(rawHeaders, {
      instance: target.instance.id,
      remaining,
      account: account?.name,
      priority: isFirst ? (account?.priority ?? route.priority) : highestPriority,
      resumeAfter: this.#responseWriter.lastEventId ?? resumeAfter,
    });
    this.#target = target;
    this.#lastTarget = target.key;
    this.#sentAt = this.#now();
    this.#crashes.noteSent(this.#sentAt);
    if (this.#crashes.subjectsOnTrial.length > 0) {
      this.#logEvent('quarantined subjects sent on trial', {
        subjects: this.#crashes.subjectsOnTrial,
      });
    }
    this.#timer.noteAssigned(this.#sentAt);
    this.#firstDataAt = undefined;
    this.#hasResponseHead = false;
    loads.noteSent(target);
    this.#dispatch = chooser.noteSent(target, this.#work, this.#sentAt);
    permits.noteSent(formatIdentity(target.instance), this.#sentAt);
    if (permits.isLimited(formatIdentity(target.instance))) {
      onSentToLimited(service);
    }
    this.#stream =
      service.engine === undefined
        ? undefined
        : progress.track(target.key, this.#sentAt, route.longestPause);
    const dispatcher = connections.find(target.address, connectionLimit(service));
    const attempt: UpstreamAttempt = new UpstreamAttempt(
      dispatcher,
      { method, path, headers, body },
      {
        onStart: () => {
          this.#timer.noteWritten(this.#now());
          observer.noteWritten(target, this.#request.requestId);
        },
        onHead: (status, answerHeaders, raw) => {
          this.#handleHead(attempt, target, status, answerHeaders, raw);
        },
        onData: (bytes) => {
          this.#handleData(attempt, target, bytes);
        },
        onEnd: () => {
          this.#handleEnd(attempt, target);
        },
        onError: (error, isSent) => {
          this.#handleError(attempt, target, error, isSent);
        },
      },
    );
    this.#attempt = attempt;
  }

  #handleHead(
    attempt: UpstreamAttempt,
    target: Target,
    status: number,
    headers: IncomingHttpHeaders,
    raw: string[],
  ): void {
    const { dialect, loads, observer } = this.#dependencies;
    const { requestId } = this.#request;
    const facts = dialect.readResponse(status, headers);
    this.#hasResponseHead = true;
    observer.noteResponse(target, facts, { requestId, sentAt: this.#sentAt });
    if (facts.requestId !== requestId) {
      // A late response to an earlier request on this connection. The outcome of the present request is unknown.
      this.#failAttempt(attempt, target, 'response belongs to another request');
      return;
    }
    if (facts.isNotRun) {
      this.#logEvent('upstream did not run the request', { status, retryAfter: facts.retryAfter });
      if (facts.isMisdirected) {
        loads.noteClosed(target, this.#now());
      }
      attempt.discard();
      this.#crashes.noteNotRun(this.#now());
      this.#releaseTarget();
      this.#handle({ type: 'refused', now: this.#now() });
      return;
    }
    if (!isPlainBody(headers['transfer-encoding'])) {
      this.#failAttempt(attempt, target, 'response in an unknown transfer coding');
      return;
    }
    if (facts.isUnproven) {
      this.#failAttempt(attempt, target, `unproven response: status ${status}`);
      return;
    }
    if (isUpstreamFailure(status)) {
      this.#dispatch?.noteFailed(this.#now());
      this.#dispatch?.release();
    }
    if (isUpstreamFailure(status) && this.#tryReplaceFailure(attempt, status)) {
      return;
    }
    const { route, method } = this.#request;
    const isStream = route.kind === 'streaming' && method !== 'HEAD' && isSuccess(status);
    const reader = isStream ? this.#createReader() : undefined;
    if (!this.#responseWriter.begin(status, raw, reader)) {
      this.#abortAttempt(attempt, `response cannot continue the stream: status ${status}`);
    }
  }

  #createReader(): EventReader {
    const { route, resumeAfter } = this.#request;
    const { lastEventId } = this.#responseWriter;
    // An upstream may ignore the identifier that a caller sends on a route whose streams are not resumable.
    const isFirstKnown = route.isResumable || (lastEventId ?? resumeAfter) === undefined;
    const first = isFirstKnown ? findFirstNumber(lastEventId ?? resumeAfter) : undefined;
    return new EventReader(this.#dependencies.dialect.eventFormat, first);
  }

  #noteRejection({ code }: Failure): void {
    if (code !== 'requestQuarantined') {
      return;
    }
    const subjects = this.#crashes.noteRejected(this.#now());
    this.#logEvent('request rejected for crashes of upstreams', { subjects });
  }

  /** Returns whether the request was sent to another upstream instead of forwarding this failure. */
  #tryReplaceFailure(attempt: UpstreamAttempt, status: number): boolean {
    const target = this.#target?.key;
    this.#handle({ type: 'failed', now: this.#now() });
    const isReplaced = this.#attempt !== attempt;
    if (isReplaced) {
      this.#logEvent('upstream failed; request sent to another upstream', {
        status,
        before: target,
      });
    }
    return isReplaced;
  }

  #handleData(attempt: UpstreamAttempt, target: Target, bytes: Buffer): void {
    const now = this.#now();
    if (this.#firstDataAt === undefined) {
      this.#firstDataAt = now;
      this.#place?.noteStarted(now - this.#sentAt);
    }
    this.#stream?.noteBytes(now);
    this.#dispatch?.noteFirstEvent(now);
    const fault = this.#responseWriter.push(bytes);
    if (this.#responseWriter.isPassedOn) {
      this.#timer.noteForwarded(now);
      this.#handle({ type: 'passedOn' });
    }
    if (fault !== undefined) {
      this.#noteEventFault(target, fault);
      this.#failAttempt(attempt, target, 'event does not belong to its stream');
    } else if (this.#responseWriter.isOverlong) {
      this.#failAttempt(attempt, target, 'error response or event without end');
    } else if (this.#responseWriter.isPassedOn && this.#responseWriter.isSlow) {
      this.pauseReading();
    }
  }

  #noteEventFault(target: Target, fault: EventFault): void {
    const { requestId } = this.#request;
    const attempt = this.#controller.attemptCount;
    const { lastEventId } = this.#responseWriter;
    this.#dependencies.observer.noteEventFault(target, fault, { requestId, attempt, lastEventId });
  }

  #handleEnd(attempt: UpstreamAttempt, target: Target): void {
    if (this.#responseWriter.isIncompleteStream) {
      const error = new Error('the stream ended inside an event, or before its first one');
      this.#handleError(attempt, target, error, true);
      return;
    }
    if (this.#responseWriter.isUnframed) {
      void this.#confirmEnd(attempt, target);
      return;
    }
    this.#complete(attempt);
  }

  /** Nothing but the end of the connection says that the response is complete, and the connections of an upstream that crashes end too. */
  async #confirmEnd(attempt: UpstreamAttempt, target: Target): Promise<void> {
    const verdict = await this.#crashes.confirmEnd(target, this.#responseWriter.isFailure);
    if (verdict === 'refused') {
      this.#handleError(attempt, target, new Error('the upstream ended with the response'), true);
    } else {
      this.#complete(attempt);
    }
  }

  #complete(attempt: UpstreamAttempt): void {
    if (this.#attempt === attempt) {
      this.#dispatch?.noteComplete(this.#now());
      this.#releaseTarget();
      this.#handle({ type: 'ended' });
    }
  }

  #handleError(attempt: UpstreamAttempt, target: Target, error: Error, isSent: boolean): void {
    if (this.#attempt !== attempt) {
      return;
    }
    const content = {
      digest: this.#crashes.requestDigest,
      promptSegments: this.#request.promptSegments,
    };
    const code = 'code' in error ? error.code : undefined;
    this.#logEvent('attempt failed', { error: error.message, code, isSent, ...content });
    this.#dependencies.loads.suspect(target, this.#now());
    this.#dispatch?.noteFailed(this.#now());
    if (isSent) {
      this.#crashes.noteBroken(target);
    } else {
      this.#crashes.noteNotRun(this.#now());
    }
    this.#releaseTarget();
    this.#handle({ type: isSent ? 'broken' : 'unreachable', now: this.#now() });
  }

  /** Closes the connection of an attempt whose bytes are no answer; its upstream may be about to crash. */
  #failAttempt(attempt: UpstreamAttempt, target: Target, reason: string): void {
    attempt.cancel();
    this.#handleError(attempt, target, new Error(reason), true);
  }

  #abortAttempt(attempt: UpstreamAttempt, reason: string): void {
    this.#logEvent('attempt aborted', { reason });
    this.#abandon(attempt);
    this.#handle({ type: 'broken', now: this.#now() });
  }

  #abandon(attempt: UpstreamAttempt): void {
    attempt.cancel();
    this.#releaseTarget();
  }

  #releaseTarget(): void {
    if (this.#target !== undefined) {
      this.#dependencies.loads.noteDone(this.#target, this.#hasResponseHead);
      if (this.#attempt?.isSent === false) {
        this.#dependencies.permits.noteUnsent(formatIdentity(this.#target.instance));
      }
      this.#target = undefined;
    }
    this.#dispatch?.release();
    this.#dispatch = undefined;
    this.#stream?.end();
    this.#stream = undefined;
    this.#attempt = undefined;
  }

  #logEvent(message: string, details: object): void {
    const { requestId, route } = this.#request;
    const target = this.#target?.key;
    const attempt = this.#controller.attemptCount;
    const after = Math.round(this.#now() - this.#request.startedAt);
    const fields = { requestId, route: route.name, target, attempt, after, ...details };
    this.#dependencies.log.info(fields, message);
  }

  #measureRun(now: Milliseconds): Milliseconds | undefined {
    const firstDataAt = this.#firstDataAt;
    return firstDataAt === undefined
      ? undefined
      : now - firstDataAt + Math.min(firstDataAt - this.#sentAt, maximumPrefillTime);
  }

  #conclude(result: string): void {
    clearTimeout(this.#wakeTimer);
    this.#place?.leave();
    this.#releaseTarget();
    this.#crashes.noteOver();
    const now = this.#now();
    this.#onOutcome({
      result,
      attempts: this.#controller.attemptCount,
      target: this.#lastTarget,
      duration: now - this.#request.startedAt,
      times: this.#timer.read(),
      runDuration: this.#measureRun(now),
    });
  }
}
