import { Code, ConnectError, type ConnectRouter, type HandlerContext } from '@connectrpc/connect';
import type { Logger } from 'pino';

import {
  assertNever,
  type Clock,
  type ManagedPart,
  type Milliseconds,
  type ProbeVerdict,
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
  GroupSnapshot,
  SubscriberId,
  UpstreamRequest,
} from './messages.js';
import { ResponseStream } from './response-stream.js';
import type { UpstreamClient } from './upstream-client.js';
import { UpstreamCrashes } from './upstream-crashes.js';
import { UpstreamRelay } from './upstream-relay.js';
import {
  decodeAttemptName,
  decodeOrder,
  decodeUpstreamRequest,
  encodeAttemptState,
} from './wire.js';

/** State of a group that decides whether its leading sidecar admits attempts. */
export interface GroupAdmission {
  readonly group: Group;
  /** Whether the leases of all group members are held at a monotonic time. */
  readonly isWhole: (now: Milliseconds) => boolean;
  readonly isDraining: boolean;
  /** Maximum number of concurrent attempts at the upstream. */
  readonly concurrency: number;
}

/** Dependencies and settings of `AttemptService`. */
export interface AttemptServiceOptions {
  readonly incarnation: Incarnation;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns the group if this sidecar leads it. */
  readonly readGroup: (name: GroupName) => GroupAdmission | undefined;
  /** Rechecks the leases with the group members immediately before an attempt is passed to the upstream. */
  readonly confirmWhole: (group: Group) => Promise<boolean>;
  /** Highest configuration revision seen. */
  readonly readRevision: () => Revision;
  /** Called when an attempt carries a newer configuration revision. */
  readonly noticeRevision?: (revision: Revision) => void;
  readonly upstream: UpstreamClient;
  readonly limits?: AttemptLimits;
  /** Called with `ok` for each attempt passed to the upstream, and with the result code for each refused attempt. */
  readonly observe?: (result: ResultCodeName) => void;
}

type EffectOf<Type extends AttemptEffect['type']> = Extract<AttemptEffect, { readonly type: Type }>;

const tickInterval: Milliseconds = 50;
/** Messages, and bytes of data, queued for a slow connection before reading of the upstream's response is paused. */
const maximumQueuedMessages = 256;
const maximumQueuedBytes = 256 * 1024;

/** Server side of AttemptService in a sidecar: passes events to `AttemptController` and executes its effects. */
export class AttemptService implements ManagedPart {
  readonly name = 'attempts';
  readonly #options: AttemptServiceOptions;
  readonly #controller: AttemptController;
  readonly #streams = new Map<SubscriberId, ResponseStream>();
  /** Streams that have their last message, which their connections may not have read yet. */
  readonly #endingStreams = new Set<ResponseStream>();
  readonly #requests = new Map<AttemptKey, UpstreamRequest>();
  readonly #relay: UpstreamRelay;
  readonly #pendingQueries = new Map<number, (state: AttemptState) => void>();
  #nextId = 1;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: AttemptServiceOptions) {
    this.#options = options;
    this.#controller = new AttemptController(
      options.incarnation,
      options.limits ?? defaultAttemptLimits,
    );
    const { incarnation, upstream } = options;
    const probe = (): Promise<ProbeVerdict> => {
      return upstream.probe?.() ?? Promise.resolve('unanswered');
    };
    this.#relay = new UpstreamRelay({
      upstream,
      crashes: new UpstreamCrashes({ incarnation, probe, readTime: () => this.#now() }),
      clock: options.clock,
      logger: options.logger,
      handle: (event) => {
        this.#handle(event);
      },
      waitForCapacity: (key) => this.#waitForCapacity(key),
    });
  }

  /** Number of attempts that are queued or running. */
  get unfinishedCount(): number {
    return this.#controller.unfinishedCount;
  }

  /** Number of attempts that are unfinished or whose last messages have not been read by a connection. */
  get owedCount(): number {
    for (const stream of this.#endingStreams) {
      if (stream.length === 0) {
        this.#endingStreams.delete(stream);
      }
    }
    return this.unfinishedCount + this.#endingStreams.size;
  }

  /** Number of queued or running attempts of one group; the group's drain is complete at 0. */
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

  /** Refuses new attempts from now on; admitted attempts continue. */
  startDrain(): void {
    this.#handle({ type: 'drainStarted', now: this.#now() });
  }

  /** Resolves when no attempt is left or the time limit is reached, with the keys of the unfinished attempts. */
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
    for (const stream of this.#streams.values()) {
      stream.close();
    }
  }

  #run(request: RunRequest, context: HandlerContext): AsyncIterable<RunResponse> {
    const order = decodeOrder(request);
    const key = formatAttemptName(order.name);
    const group = this.#readGroupSnapshot(order.group);
    const { revision, subscriber, stream } = this.#subscribe(context);
    if (order.configurationRevision > revision) {
      this.#options.noticeRevision?.(order.configurationRevision);
    }
    if (!this.#requests.has(key) && !this.#controller.isUnfinished(key)) {
      this.#requests.set(key, decodeUpstreamRequest(request));
    }
    const wallNow = this.#options.clock.wall();
    const now = this.#now();
    this.#handle({ type: 'arrived', now, wallNow, subscriber, order, group, revision });
    this.#dropRefusedRequest(key);
    return stream;
  }

  #resume(request: ResumeRequest, context: HandlerContext): AsyncIterable<RunResponse> {
    const { subscriber, stream } = this.#subscribe(context);
    const name = decodeAttemptName(request.name);
    const offset = Number(request.offset);
    this.#handle({ type: 'resumed', now: this.#now(), subscriber, name, offset });
    return stream;
  }

  #ask(request: AskRequest): Promise<AskResponse> {
    const question = this.#allocateId();
    return new Promise((resolve) => {
      this.#pendingQueries.set(question, (state) => {
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
    readonly stream: ResponseStream;
  } {
    const subscriber = this.#allocateId();
    const stream = new ResponseStream();
    this.#streams.set(subscriber, stream);
    context.signal.addEventListener('abort', () => {
      stream.abort();
      this.#streams.delete(subscriber);
      this.#handle({ type: 'subscriberGone', now: this.#now(), subscriber });
    });
    return { revision: this.#options.readRevision(), subscriber, stream };
  }

  #readGroupSnapshot(name: GroupName): GroupSnapshot | undefined {
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
      this.#execute(effect);
    }
  }

  #execute(effect: AttemptEffect): void {
    switch (effect.type) {
      case 'send':
        if (effect.message.type === 'refused') {
          this.#options.observe?.(effect.message.refusal.code);
        }
        this.#streams.get(effect.subscriber)?.push(effect.message);
        return;
      case 'closeSubscriber':
        this.#closeStream(effect.subscriber);
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
        this.#pendingQueries.get(effect.question)?.(effect.state);
        this.#pendingQueries.delete(effect.question);
        return;
      default:
        assertNever(effect);
    }
  }

  #closeStream(subscriber: SubscriberId): void {
    const stream = this.#streams.get(subscriber);
    this.#streams.delete(subscriber);
    if (stream === undefined) {
      return;
    }
    stream.close();
    if (stream.length > 0) {
      this.#endingStreams.add(stream);
    }
  }

  async #confirm(effect: EffectOf<'confirm'>): Promise<void> {
    const code = await this.#checkGroup(effect);
    this.#handle({ type: 'confirmed', now: this.#now(), key: effect.key, code });
  }

  /** Returns `ok` if the fencing number still matches and the leases of all group members are held now. */
  async #checkGroup(effect: EffectOf<'confirm'>): Promise<ResultCodeName> {
    const { group, fencingNumber } = effect;
    const admission = this.#options.readGroup(group);
    if (admission?.group.fencingNumber !== fencingNumber) {
      return 'staleFencingNumber';
    }
    try {
      return (await this.#options.confirmWhole(admission.group)) ? 'ok' : 'notWhole';
    } catch (error) {
      this.#options.logger.warn(
        { err: error, group, fencingNumber },
        'failed to confirm the leases of the group members',
      );
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

  /**
   * Limits memory use by pausing reads from the upstream while too much is queued for the gateway. Returns undefined if
   * reading can continue.
   */
  #waitForCapacity(key: AttemptKey): Promise<void> | undefined {
    const subscriber = this.#controller.findSubscriber(key);
    const stream = subscriber === undefined ? undefined : this.#streams.get(subscriber);
    const isFull = stream?.isAbove(maximumQueuedMessages, maximumQueuedBytes) === true;
    return isFull ? stream.waitUntilBelow(maximumQueuedMessages, maximumQueuedBytes) : undefined;
  }

  #dropRefusedRequest(key: AttemptKey): void {
    if (!this.#controller.isUnfinished(key)) {
      this.#requests.delete(key);
    }
  }

  #allocateId(): number {
    const number = this.#nextId;
    this.#nextId += 1;
    return number;
  }

  #now(): Milliseconds {
    return this.#options.clock.monotonic();
  }
}

export function createAttemptService(options: AttemptServiceOptions): AttemptService {
  return new AttemptService(options);
}
