import type { RunResponse } from '../../generated/pistachiospoke/v1/attempt_pb.js';
import type { AttemptMessage } from './messages.js';
import { encodeMessage } from './wire.js';

/** Chunks of data are joined up to this size: below the size from which messages are compressed. */
const largestJoined = 8 * 1024;

type DataMessage = Extract<AttemptMessage, { readonly type: 'data' }>;

/** Adjacent chunks that wait together, so that they leave in one frame. */
interface JoinedData {
  readonly type: 'joined';
  readonly offset: number;
  readonly chunks: Uint8Array[];
  size: number;
}

type Waiting = Exclude<AttemptMessage, DataMessage> | JoinedData;

/**
 * Messages on their way to one connection: pushed by decisions, pulled by the connection at its own pace.
 * What piles up while the connection is busy leaves in fewer, larger frames; nothing is ever held back to fill one.
 * An iterator by hand rather than an async generator: it is passed for every token.
 */
export class MessageOutlet implements AsyncIterableIterator<RunResponse> {
  readonly #waiting: Waiting[] = [];
  #isClosed = false;
  #pull: ((result: IteratorResult<RunResponse, undefined>) => void) | undefined;
  #drained: (() => void)[] = [];

  /** Messages that the connection has not taken yet. */
  get length(): number {
    return this.#waiting.length;
  }

  push(message: AttemptMessage): void {
    if (this.#isClosed) {
      return;
    }
    const pull = this.#pull;
    if (pull === undefined) {
      this.#enqueue(message);
      return;
    }
    this.#pull = undefined;
    pull({ done: false, value: encodeMessage(message) });
  }

  /** Ends the iteration once all messages are taken. */
  close(): void {
    this.#isClosed = true;
    this.#pull?.({ done: true, value: undefined });
    this.#pull = undefined;
    this.#release();
  }

  /** Ends the iteration now; what was not taken is dropped. */
  abandon(): void {
    this.#waiting.length = 0;
    this.close();
  }

  /** Resolves once no more than `maximum` messages are left, or the outlet is closed. */
  async waitUntilBelow(maximum: number): Promise<void> {
    while (this.#waiting.length > maximum && !this.#isClosed) {
      await new Promise<void>((resolve) => {
        this.#drained.push(resolve);
      });
    }
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  next(): Promise<IteratorResult<RunResponse, undefined>> {
    const message = this.#waiting.shift();
    if (message !== undefined) {
      this.#release();
      return Promise.resolve({ done: false, value: encodeMessage(toMessage(message)) });
    }
    if (this.#isClosed) {
      return Promise.resolve({ done: true, value: undefined });
    }
    return new Promise((resolve) => {
      this.#pull = resolve;
    });
  }

  return(): Promise<IteratorResult<RunResponse, undefined>> {
    this.abandon();
    return Promise.resolve({ done: true, value: undefined });
  }

  #enqueue(message: AttemptMessage): void {
    if (message.type !== 'data') {
      this.#waiting.push(message);
      return;
    }
    const { offset, bytes } = message;
    const last = this.#waiting.at(-1);
    const isAdjacent = last?.type === 'joined' && last.offset + last.size === offset;
    if (isAdjacent && last.size + bytes.length <= largestJoined) {
      last.chunks.push(bytes);
      last.size += bytes.length;
      return;
    }
    this.#waiting.push({ type: 'joined', offset, chunks: [bytes], size: bytes.length });
  }

  #release(): void {
    const waiting = this.#drained;
    if (waiting.length === 0) {
      return;
    }
    this.#drained = [];
    for (const resolve of waiting) {
      resolve();
    }
  }
}

function toMessage(waiting: Waiting): AttemptMessage {
  if (waiting.type !== 'joined') {
    return waiting;
  }
  const [first] = waiting.chunks;
  const isSingle = waiting.chunks.length === 1 && first !== undefined;
  const bytes = isSingle ? first : Buffer.concat(waiting.chunks);
  return { type: 'data', offset: waiting.offset, bytes };
}
