import type { Milliseconds, ResultCodeName } from '../../common/index.js';
import type { AttemptName, AttemptOrder, AttemptState } from '../../model/index.js';
import { formatAttemptName } from '../../model/index.js';
import { AttemptLifecycle, type AttemptStage, type AttemptStep } from './attempt-machine.js';
import type { AttemptKey, AttemptMessage, HeaderField, SubscriberId } from './messages.js';
import { ResumeBuffer } from './resume-buffer.js';

/** Status and header fields of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: readonly HeaderField[];
}

/** One attempt that this sidecar took in, from its arrival until it is forgotten. */
export class AttemptRecord {
  readonly name: AttemptName;
  readonly key: AttemptKey;
  readonly order: AttemptOrder;
  /** Monotonic time at which the request has no time left. */
  readonly deadline: Milliseconds;
  readonly buffer: ResumeBuffer;
  readonly #lifecycle: AttemptLifecycle;
  #subscriber: SubscriberId | undefined;
  #detachedAt: Milliseconds | undefined;
  #head: AnswerHead | undefined;
  #code: ResultCodeName = 'ok';

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

  /** Since when nobody listens; undefined while somebody does. */
  get detachedAt(): Milliseconds | undefined {
    return this.#detachedAt;
  }

  get head(): AnswerHead | undefined {
    return this.#head;
  }

  /** Why it ended or was refused; `ok` for a whole answer. */
  get code(): ResultCodeName {
    return this.#code;
  }

  /** Whether the attempt is over. */
  get isOver(): boolean {
    return this.stage === 'ended' || this.stage === 'refused';
  }

  /** Takes a step; false when it is not allowed now. */
  step(step: AttemptStep, now: Milliseconds, code: ResultCodeName = 'ok'): boolean {
    if (!this.#lifecycle.step(step, now)) {
      return false;
    }
    if (this.isOver) {
      this.#code = code;
    }
    return true;
  }

  /** Sets the head of the answer; the first one stands. */
  setHead(head: AnswerHead): void {
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

  /** What a gateway that asks after the attempt is told. */
  describe(): AttemptState {
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

  /** The message that says how the attempt ended. */
  describeEnd(retryAfter: Milliseconds): AttemptMessage {
    const totalBytes = this.buffer.nextOffset;
    return { type: 'ended', totalBytes, code: this.#code, retryAfter };
  }
}
