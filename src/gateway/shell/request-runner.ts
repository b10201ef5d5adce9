import type { ServerResponse } from 'node:http';

import type { Logger } from 'pino';

import {
  assertNever,
  type Clock,
  type Failure,
  type Milliseconds,
  type ResultCodeName,
} from '../../common/index.js';
import type { AttemptName, Revision } from '../../model/index.js';
import type { AttemptMessage } from '../../sidecar/attempts/index.js';
import { encodeRun } from '../../sidecar/attempts/wire.js';
import type { ClaimClient } from '../claims.js';
import type {
  AttemptTarget,
  RequestEffect,
  RequestEvent,
  StreamEvent,
  StreamNumber,
} from '../messages.js';
import { RequestController, type RequestDependencies } from '../request-controller.js';
import type { RequestStage } from '../request-machine.js';
import type { AttemptConnections, StreamHandle } from './attempt-connections.js';
import type { CallerAnswer } from './caller-answer.js';
import { ClaimedKey } from './claimed-key.js';
import type { ParsedRequest } from './request-parser.js';

/** Dependencies shared by the runners of one gateway. */
export interface RunnerDependencies extends RequestDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly connections: AttemptConnections;
  readonly claims: ClaimClient;
  /** Called with the recording of the outcome of a claimed key, which goes on after the final answer. */
  readonly trackSettlement: (settlement: Promise<void>) => void;
  readonly noticeRevision: (revision: Revision) => void;
  readonly callerLimits: CallerLimits;
}

/** Time limits of the caller's side of a request. */
export interface CallerLimits {
  /** Idle time of a stream after which a keep-alive comment is sent. */
  readonly keepAliveInterval: Milliseconds;
  /** A caller that reads nothing for this long counts as gone. */
  readonly stallLimit: Milliseconds;
}

/** Outcome of one request, for metrics and service-level counters. */
export interface RequestOutcome {
  readonly request: ParsedRequest;
  /** `ok` for a complete answer. */
  readonly code: ResultCodeName;
  readonly attempts: number;
  readonly duration: Milliseconds;
  /** Time from arrival to the first bytes for the caller; undefined if there were none. */
  readonly firstBytes: Milliseconds | undefined;
}

/** The caller's side of a request. */
export interface CallerChannel {
  readonly response: ServerResponse;
  readonly answer: CallerAnswer;
}

type EffectOf<Type extends RequestEffect['type']> = Extract<RequestEffect, { readonly type: Type }>;

/** Executes the effects of the `RequestController` of one request. */
export class RequestRunner {
  readonly #request: ParsedRequest;
  readonly #dependencies: RunnerDependencies;
  readonly #controller: RequestController;
  readonly #response: ServerResponse;
  readonly #answer: CallerAnswer;
  readonly #claimedKey: ClaimedKey;
  readonly #streams = new Map<StreamNumber, StreamHandle>();
  readonly #done: (outcome: RequestOutcome) => void;
  readonly #arrivedAt: Milliseconds;
  #firstBytesAt: Milliseconds | undefined;
  #lastProgressAt: Milliseconds;
  #lastBufferedBytes = 0;
  #resumeReading: (() => void) | undefined;
  #isDone = false;

  constructor(
    request: ParsedRequest,
    { response, answer }: CallerChannel,
    dependencies: RunnerDependencies,
    done: (outcome: RequestOutcome) => void,
  ) {
    this.#request = request;
    this.#dependencies = dependencies;
    this.#response = response;
    this.#done = done;
    this.#answer = answer;
    this.#controller = new RequestController(request.facts, dependencies);
    this.#claimedKey = new ClaimedKey(request.facts, dependencies.claims, dependencies.logger);
    this.#arrivedAt = this.#now();
    this.#lastProgressAt = this.#arrivedAt;
  }

  get stage(): RequestStage {
    return this.#controller.stage;
  }

  start(): void {
    this.#response.on('close', () => {
      this.#handle({ type: 'callerGone', now: this.#now() });
    });
    this.#response.on('drain', () => {
      this.#continueReading();
    });
    this.#handle({ type: 'arrived', now: this.#now() });
  }

  tick(): void {
    const now = this.#now();
    this.#handle({ type: 'tick', now });
    if (!this.#isDone) {
      this.#answer.keepAlive(now, this.#dependencies.callerLimits.keepAliveInterval);
    }
    this.#checkStall(now);
  }

  /** Sends the final answer now, because the process ends. */
  shutDown(): void {
    this.#handle({ type: 'shutDown', now: this.#now() });
  }

  /**
   * A caller whose connection went silent reads nothing, and no error is raised: the kernel would retransmit for many
   * minutes while the upstream works for nobody. It is detected by buffered bytes of which none is read for too long.
   */
  #checkStall(now: Milliseconds): void {
    const buffered = this.#answer.bufferedBytes;
    if (buffered === 0 || buffered < this.#lastBufferedBytes) {
      this.#lastProgressAt = now;
    }
    this.#lastBufferedBytes = buffered;
    if (now - this.#lastProgressAt >= this.#dependencies.callerLimits.stallLimit) {
      this.#response.destroy();
    }
  }

  #handle(event: RequestEvent): void {
    for (const effect of this.#controller.handle(event)) {
      this.#execute(effect);
    }
  }

  #execute(effect: RequestEffect): void {
    switch (effect.type) {
      case 'claim':
        void this.#claim();
        return;
      case 'settle':
        this.#dependencies.trackSettlement(this.#claimedKey.settle(effect.outcome));
        return;
      case 'run':
        this.#run(effect);
        return;
      case 'ask':
        void this.#ask(effect.attempt, effect.target);
        return;
      case 'resume':
        this.#resume(effect);
        return;
      case 'cancel':
        void this.#dependencies.connections.cancel(effect.target.address, this.#nameOf(effect));
        return;
      case 'dropStream':
        this.#streams.get(effect.stream)?.drop();
        this.#streams.delete(effect.stream);
        return;
      case 'retireConnection':
        this.#streams.get(effect.stream)?.retireConnection();
        return;
      case 'noticeRevision':
        this.#dependencies.noticeRevision(effect.revision);
        return;
      case 'answerHead':
        this.#firstBytesAt ??= this.#now();
        this.#answer.begin(effect.status, effect.headers, effect.isStream);
        return;
      case 'answerBytes':
        this.#answer.write(effect.bytes, this.#now());
        return;
      case 'answerEnd':
        this.#answer.end();
        this.#finish('ok');
        return;
      case 'answerFailure':
        this.#fail(effect.failure);
        return;
      default:
        assertNever(effect);
    }
  }

  #run(effect: EffectOf<'run'>): void {
    const { facts, upstream } = this.#request;
    const { target, attempt, stream, remaining, configurationRevision } = effect;
    const order = {
      name: this.#nameOf(effect),
      group: target.group,
      fencingNumber: target.fencingNumber,
      configurationRevision,
      remaining,
      account: facts.account,
      accountWeight: facts.accountWeight,
      priority: facts.priority,
      isNonIdempotent: facts.isNonIdempotent,
    };
    this.#dependencies.logger.debug({ requestId: facts.id, attempt, target }, 'run');
    const message = encodeRun(order, upstream);
    const handle = this.#dependencies.connections.run(
      target.address,
      message,
      this.#listen(stream),
    );
    this.#streams.set(stream, handle);
  }

  #resume(effect: EffectOf<'resume'>): void {
    const { stream, target, offset } = effect;
    this.#log().info({ attempt: effect.attempt, group: target.group, offset }, 'resume');
    const name = this.#nameOf(effect);
    const listener = this.#listen(stream);
    const handle = this.#dependencies.connections.resume(target.address, name, offset, listener);
    this.#streams.set(stream, handle);
  }

  #listen(stream: StreamNumber): {
    readonly message: (message: AttemptMessage) => void;
    readonly closed: (wasSent: boolean) => void;
    readonly ready: () => Promise<void> | undefined;
  } {
    return {
      message: (message) => {
        this.#handle(toStreamEvent(message, stream, this.#now()));
      },
      closed: (wasSent) => {
        this.#streams.delete(stream);
        this.#handle({ type: 'closed', stream, now: this.#now(), wasSent });
      },
      ready: () => (this.#answer.isSlow ? this.#waitForCaller() : undefined),
    };
  }

  async #waitForCaller(): Promise<void> {
    if (this.#isDone) {
      return;
    }
    this.#handle({ type: 'callerSlow', now: this.#now(), isSlow: true });
    await new Promise<void>((resolve) => {
      this.#resumeReading = resolve;
    });
    this.#handle({ type: 'callerSlow', now: this.#now(), isSlow: false });
  }

  #continueReading(): void {
    this.#resumeReading?.();
    this.#resumeReading = undefined;
  }

  async #ask(attempt: number, target: AttemptTarget): Promise<void> {
    this.#log().info({ attempt, group: target.group }, 'ask after an attempt');
    const name = this.#nameOf({ attempt, target });
    const state = await this.#dependencies.connections.ask(target.address, name);
    const now = this.#now();
    this.#handle(
      state === undefined
        ? { type: 'askFailed', now, attempt }
        : { type: 'askAnswered', now, attempt, state },
    );
  }

  async #claim(): Promise<void> {
    const answer = await this.#claimedKey.claim();
    this.#handle({ type: 'claimAnswered', now: this.#now(), ...answer });
  }

  #fail(failure: Failure): void {
    if (failure.code === 'requestQuarantined') {
      const { crashSubjects = [] } = this.#request.facts;
      const subjects = this.#dependencies.crashLedger?.listQuarantined(crashSubjects, this.#now());
      this.#log().info({ subjects }, 'request rejected for crashes of upstreams');
    }
    if (failure.code === 'cancelled') {
      this.#response.destroy();
    } else {
      this.#answer.fail(failure);
    }
    this.#finish(failure.code);
  }

  #finish(code: ResultCodeName): void {
    this.#isDone = true;
    for (const stream of this.#streams.values()) {
      stream.drop();
    }
    this.#streams.clear();
    this.#continueReading();
    const now = this.#now();
    this.#done({
      request: this.#request,
      code,
      attempts: this.#controller.attempts,
      duration: now - this.#arrivedAt,
      firstBytes:
        this.#firstBytesAt === undefined ? undefined : this.#firstBytesAt - this.#arrivedAt,
    });
  }

  #nameOf(effect: { readonly attempt: number; readonly target: AttemptTarget }): AttemptName {
    const { attempt, target } = effect;
    return { requestId: this.#request.facts.id, attempt, incarnation: target.incarnation };
  }

  #log(): Logger {
    return this.#dependencies.logger.child({ requestId: this.#request.facts.id });
  }

  #now(): Milliseconds {
    return this.#dependencies.clock.monotonic();
  }
}

/** Data arrives with every token, so its event avoids object spread, which costs about 6 microseconds here. */
function toStreamEvent(
  message: AttemptMessage,
  stream: StreamNumber,
  now: Milliseconds,
): StreamEvent {
  if (message.type === 'data') {
    const { offset, bytes } = message;
    return { type: 'data', stream, now, offset, bytes };
  }
  return { ...message, stream, now };
}
