import { Code, ConnectError, type ConnectRouter, type HandlerContext } from '@connectrpc/connect';
import type { Logger } from 'pino';

import {
  assertNever,
  type Clock,
  type ManagedPart,
  type Milliseconds,
  type ResultCodeName,
} from '../../common/index.js';
import {
  AttemptService as AttemptServiceDefinition,
  type AskRequest,
  type AskResponse,
  type CancelRequest,
  type ResumeRequest,
  type RunRequest,
  type RunResponse,
} from '../../generated/pistachiospoke/v1/attempt_pb.js';
import {
  formatAttemptName,
  type AttemptState,
  type Group,
  type GroupName,
  type Incarnation,
  type Revision,
} from '../../model/index.js';
import { AttemptController } from './attempt-controller.js';
import { defaultAttemptLimits, type AttemptLimits } from './limits.js';
import type {
  AttemptEffect,
  AttemptEvent,
  AttemptKey,
  GroupFacts,
  SubscriberId,
  UpstreamRequest,
} from './messages.js';
import { MessageOutlet } from './message-outlet.js';
import type { UpstreamCaller } from './upstream-caller.js';
import { UpstreamRelay } from './upstream-relay.js';
import {
  decodeAttemptName,
  decodeOrder,
  decodeUpstreamRequest,
  encodeAttemptState,
} from './wire.js';

/** A group as the sidecar that leads it admits work to it. */
export interface GroupAdmission {
  readonly group: Group;
  /** Whether every lease is held at a monotonic time. */
  readonly isWhole: (now: Milliseconds) => boolean;
  readonly isDraining: boolean;
  /** Attempts that the upstream takes at a time. */
  readonly concurrency: number;
}

/** What the attempts of a sidecar need from the rest of it. */
export interface AttemptServiceOptions {
  readonly incarnation: Incarnation;
  readonly clock: Clock;
  readonly logger: Logger;
  /** The group, when this sidecar leads it. */
  readonly readGroup: (name: GroupName) => GroupAdmission | undefined;
  /** Asks the members once more, right before an attempt is handed to the upstream. */
  readonly confirmWhole: (group: Group) => Promise<boolean>;
  /** Highest configuration revision seen. */
  readonly readRevision: () => Revision;
  /** Told of a newer revision that an attempt carried. */
  readonly noticeRevision?: (revision: Revision) => void;
  readonly upstream: UpstreamCaller;
  readonly limits?: AttemptLimits;
  /** Told `ok` of each attempt handed to the upstream, and the code of each that is refused. */
  readonly observe?: (result: ResultCodeName) => void;
}

type EffectOf<Type extends AttemptEffect['type']> = Extract<AttemptEffect, { readonly type: Type }>;

const tickInterval: Milliseconds = 50;
/** Messages that may wait for a slow connection before the upstream's answer is read no further. */
const maximumQueuedMessages = 256;

/** The shell of AttemptService at a sidecar: carries out what its `AttemptController` decides. */
export class AttemptService implements ManagedPart {
  readonly name = 'attempts';
  readonly #options: AttemptServiceOptions;
  readonly #controller: AttemptController;
  readonly #outlets = new Map<SubscriberId, MessageOutlet>();
  readonly #requests = new Map<AttemptKey, UpstreamRequest>();
  readonly #relay: UpstreamRelay;
  readonly #questions = new Map<number, (state: AttemptState) => void>();
  #nextNumber = 1;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: AttemptServiceOptions) {
    this.#options = options;
    this.#controller = new AttemptController(
      options.incarnation,
      options.limits ?? defaultAttemptLimits,
    );
    this.#relay = new UpstreamRelay({
      upstream: options.upstream,
      clock: options.clock,
      logger: options.logger,
      handle: (event) => {
        this.#handle(event);
      },
      findWait: (key) => this.#findWait(key),
    });
  }

  /** Attempts that are queued or running. */
  get unfinishedCount(): number {
    return this.#controller.unfinishedCount;
  }

  /** Attempts of one group that are queued or running; 0 means that its drain is over. */
  countUnfinished(group: GroupName): number {
    return this.#controller.countUnfinished(group);
  }

  register(router: ConnectRouter): void {
    router.service(AttemptServiceDefinition, {
      run: (request, context) => this.#run(request, context),
      ask: (request) => this.#ask(request),
      resume: (request, context) => this.#resume(request, context),
      cancel: (request) => this.#cancel(request),
    });
  }

  open(): void {
    this.#timer = setInterval(() => {
      this.#handle({ type: 'tick', now: this.#now() });
    }, tickInterval);
  }

  /** Refuses new attempts from now on; those taken in go on. */
  startDrain(): void {
    this.#handle({ type: 'drainStarted', now: this.#now() });
  }

  /** Resolves when no attempt is left, or at the limit with the names of those that would be cut. */
  async drain(limit: Milliseconds): Promise<readonly string[]> {
    this.startDrain();
    const end = this.#now() + limit;
    while (this.unfinishedCount > 0 && this.#now() < end) {
      await new Promise((resolve) => setTimeout(resolve, tickInterval));
    }
    const left = this.#controller.listUnfinished();
    if (left.length > 0) {
      this.#options.logger.warn({ attempts: left }, 'drain limit reached with attempts in flight');
    }
    return left;
  }

  close(): void {
    clearInterval(this.#timer);
    this.#relay.close();
    for (const outlet of this.#outlets.values()) {
      outlet.close();
    }
  }

  #run(request: RunRequest, context: HandlerContext): AsyncIterable<RunResponse> {
    const order = decodeOrder(request);
    const key = formatAttemptName(order.name);
    const group = this.#readFacts(order.group);
    const { revision, subscriber, outlet } = this.#subscribe(context);
    if (order.configurationRevision > revision) {
      this.#options.noticeRevision?.(order.configurationRevision);
    }
    if (!this.#requests.has(key) && !this.#controller.isUnfinished(key)) {
      this.#requests.set(key, decodeUpstreamRequest(request));
    }
    const wallNow = this.#options.clock.wall();
    const now = this.#now();
    this.#handle({ type: 'arrived', now, wallNow, subscriber, order, group, revision });
    this.#forgetRefused(key);
    return outlet;
  }

  #resume(request: ResumeRequest, context: HandlerContext): AsyncIterable<RunResponse> {
    const { subscriber, outlet } = this.#subscribe(context);
    const name = decodeAttemptName(request.name);
    const offset = Number(request.offset);
    this.#handle({ type: 'resumed', now: this.#now(), subscriber, name, offset });
    return outlet;
  }

  #ask(request: AskRequest): Promise<AskResponse> {
    const question = this.#takeNumber();
    return new Promise((resolve) => {
      this.#questions.set(question, (state) => {
        resolve(encodeAttemptState(state));
      });
      const name = decodeAttemptName(request.name);
      this.#handle({ type: 'asked', now: this.#now(), question, name });
    });
  }

  #cancel(request: CancelRequest): object {
    this.#handle({ type: 'cancelled', now: this.#now(), name: decodeAttemptName(request.name) });
    return {};
  }

  #subscribe(context: HandlerContext): {
    readonly revision: Revision;
    readonly subscriber: SubscriberId;
    readonly outlet: MessageOutlet;
  } {
    const subscriber = this.#takeNumber();
    const outlet = new MessageOutlet();
    this.#outlets.set(subscriber, outlet);
    context.signal.addEventListener('abort', () => {
      outlet.abandon();
      this.#outlets.delete(subscriber);
      this.#handle({ type: 'subscriberGone', now: this.#now(), subscriber });
    });
    return { revision: this.#options.readRevision(), subscriber, outlet };
  }

  #readFacts(name: GroupName): GroupFacts | undefined {
    const admission = this.#options.readGroup(name);
    if (admission === undefined) {
      return undefined;
    }
    return {
      fencingNumber: admission.group.fencingNumber,
      isWhole: admission.isWhole(this.#now()),
      isDraining: admission.isDraining || admission.group.isDraining,
      concurrency: admission.concurrency,
    };
  }

  #handle(event: AttemptEvent): void {
    for (const effect of this.#controller.handle(event)) {
      this.#carryOut(effect);
    }
  }

  #carryOut(effect: AttemptEffect): void {
    switch (effect.type) {
      case 'send':
        if (effect.message.type === 'refused') {
          this.#options.observe?.(effect.message.refusal.code);
        }
        this.#outlets.get(effect.subscriber)?.push(effect.message);
        return;
      case 'closeSubscriber':
        this.#outlets.get(effect.subscriber)?.close();
        this.#outlets.delete(effect.subscriber);
        return;
      case 'confirm':
        void this.#confirm(effect);
        return;
      case 'startUpstream':
        this.#options.observe?.('ok');
        this.#startUpstream(effect.key);
        return;
      case 'cancelUpstream':
        this.#relay.cancel(effect.key);
        return;
      case 'dropRequest':
        this.#requests.delete(effect.key);
        return;
      case 'answerAsk':
        this.#questions.get(effect.question)?.(effect.state);
        this.#questions.delete(effect.question);
        return;
      default:
        assertNever(effect);
    }
  }

  async #confirm(effect: EffectOf<'confirm'>): Promise<void> {
    const code = await this.#findConfirmation(effect);
    this.#handle({ type: 'confirmed', now: this.#now(), key: effect.key, code });
  }

  /** `ok` when the group that the attempt was meant for is whole now. */
  async #findConfirmation(effect: EffectOf<'confirm'>): Promise<ResultCodeName> {
    const { group, fencingNumber } = effect;
    const admission = this.#options.readGroup(group);
    if (admission?.group.fencingNumber !== fencingNumber) {
      return 'staleFencingNumber';
    }
    try {
      return (await this.#options.confirmWhole(admission.group)) ? 'ok' : 'notWhole';
    } catch (error) {
      this.#options.logger.warn({ err: error, group, fencingNumber }, 'group not confirmed');
      return 'notWhole';
    }
  }

  #startUpstream(key: AttemptKey): void {
    const request = this.#requests.get(key);
    this.#requests.delete(key);
    if (request === undefined) {
      throw new ConnectError('an attempt without a request', Code.Internal);
    }
    void this.#relay.run(key, request);
  }

  /** Reads the upstream no faster than the gateway takes the answer, so that memory stays bounded; undefined: read on. */
  #findWait(key: AttemptKey): Promise<void> | undefined {
    const subscriber = this.#controller.findSubscriber(key);
    const outlet = subscriber === undefined ? undefined : this.#outlets.get(subscriber);
    const isFull = outlet !== undefined && outlet.length > maximumQueuedMessages;
    return isFull ? outlet.waitUntilBelow(maximumQueuedMessages) : undefined;
  }

  #forgetRefused(key: AttemptKey): void {
    if (!this.#controller.isUnfinished(key)) {
      this.#requests.delete(key);
    }
  }

  #takeNumber(): number {
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    return number;
  }

  #now(): Milliseconds {
    return this.#options.clock.monotonic();
  }
}

/** Makes the attempts' part of a sidecar. */
export function createAttemptService(options: AttemptServiceOptions): AttemptService {
  return new AttemptService(options);
}
