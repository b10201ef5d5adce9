import type { Milliseconds, ResultCodeName } from '../../common/index.js';
import type { AttemptName, AttemptOrder, AttemptState } from '../../model/index.js';
import { formatAttemptName } from '../../model/index.js';
import { AttemptLifecycle, type AttemptStage, type AttemptTransition } from './attempt-machine.js';
import type { AttemptKey, AttemptMessage, HeaderField, SubscriberId } from './messages.js';
import { ResumeBuffer } from './resume-buffer.js';

/** Status and header fields of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly HeaderField[];
}

/** One attempt that this sidecar queued or started, from arrival until its entry is evicted. */
export class AttemptRecord {
  readonly name: AttemptName;
  readonly key: AttemptKey;
  readonly order: AttemptOrder;
  /** Monotonic time at which the request times out. */
  readonly deadline: Milliseconds;
  readonly buffer: ResumeBuffer;
  readonly #lifecycle: AttemptLifecycle;
  #subscriber: SubscriberId | undefined;
  #detachedAt: Milliseconds | undefined;
  #head: ResponseHead | undefined;
  #code: ResultCodeName = 'ok';
  #crash: string | undefined;

  constructor(
    order: AttemptOrder,
    subscriber: SubscriberId,
    bufferBytes: number,
    now: Milliseconds,
  ) {
    this.name = order.name;
    this.key = formatAttemptName(order.name);
    this.order = order;
    this.deadline = now + order.remaining;
    this.buffer = new ResumeBuffer(bufferBytes);
    this.#lifecycle = new AttemptLifecycle(now);
    this.#subscriber = subscriber;
  }

  get stage(): AttemptStage {
    return this.#lifecycle.stage;
  }

  get changedAt(): Milliseconds {
    return this.#lifecycle.changedAt;
  }

  get subscriber(): SubscriberId | undefined {
    return this.#subscriber;
  }

  /** Time at which the last subscriber was detached; undefined while there is a subscriber. */
  get detachedAt(): Milliseconds | undefined {
    return this.#detachedAt;
  }

  get head(): ResponseHead | undefined {
    return this.#head;
  }

  /** Why the attempt ended or was refused; `ok` for a complete response. */
  get code(): ResultCodeName {
    return this.#code;
  }

  /** Whether the attempt has ended or was refused. */
  get isFinished(): boolean {
    return this.stage === 'ended' || this.stage === 'refused';
  }

  /** Applies an event; returns false if the current stage does not allow it. */
  transition(event: AttemptTransition, now: Milliseconds, code: ResultCodeName = 'ok'): boolean {
    if (!this.#lifecycle.transition(event, now)) {
      return false;
    }
    if (this.isFinished) {
      this.#code = code;
    }
    return true;
  }

  /** The upstream crashed while the attempt ran. */
  setCrash(crash: string): void {
    this.#crash = crash;
  }

  /** Sets the response head; later calls have no effect. */
  setHead(head: ResponseHead): void {
    this.#head ??= head;
  }

  attach(subscriber: SubscriberId): void {
    this.#subscriber = subscriber;
    this.#detachedAt = undefined;
  }

  detach(now: Milliseconds): void {
    this.#subscriber = undefined;
    this.#detachedAt = now;
  }

  /** State reported to a gateway that queries the attempt. */
  toState(): AttemptState {
    const { firstOffset, nextOffset } = this.buffer;
    switch (this.stage) {
      case 'refused':
        return { type: 'refused', code: this.#code };
      case 'ended':
        return { type: 'ended', firstOffset, nextOffset, code: this.#code };
      case 'queued':
      case 'confirming':
      case 'running':
        return { type: 'running', firstOffset, nextOffset };
    }
  }

  /** Creates the final message with the outcome of the attempt. */
  createEndMessage(retryAfter: Milliseconds): AttemptMessage {
    const totalBytes = this.buffer.nextOffset;
    const crash = this.#crash;
    const ended = { type: 'ended', totalBytes, code: this.#code, retryAfter } as const;
    return crash === undefined ? ended : { ...ended, crash };
  }
}
