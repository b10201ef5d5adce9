import type { RunResponse } from '../../generated/pistachiospoke/v1/attempt_pb.js';
import type { AttemptMessage } from './messages.js';
import { encodeMessage } from './wire.js';

/** Maximum size of joined data chunks; below the size from which messages are compressed. */
const maximumJoinedBytes = 8 * 1024;

type DataMessage = Extract<AttemptMessage, { readonly type: 'data' }>;

/** Adjacent queued chunks that are sent in one frame. */
interface JoinedData {
  readonly type: 'joined';
  readonly offset: number;
  readonly chunks: Uint8Array[];
  size: number;
}

type QueuedMessage = Exclude<AttemptMessage, DataMessage> | JoinedData;

/**
 * Queue of outgoing messages for one connection, which reads them at its own pace.
 * Data queued while the connection is busy is sent in fewer, larger frames. No message is delayed to fill a frame.
 * Implemented as a plain iterator instead of an async generator, because it is invoked for every token.
 */
export class ResponseStream implements AsyncIterableIterator<RunResponse> {
  readonly #queue: QueuedMessage[] = [];
  #isClosed = false;
  #resolvePendingRead: ((result: IteratorResult<RunResponse, undefined>) => void) | undefined;
  #drainWaiters: (() => void)[] = [];

  /** Number of messages that the connection has not read yet. */
  get length(): number {
    return this.#queue.length;
  }

  push(message: AttemptMessage): void {
    if (this.#isClosed) {
      return;
    }
    const resolve = this.#resolvePendingRead;
    if (resolve === undefined) {
      this.#enqueue(message);
      return;
    }
    this.#resolvePendingRead = undefined;
    resolve({ done: false, value: encodeMessage(message) });
  }

  /** Ends the iteration once all queued messages have been read. */
  close(): void {
    this.#isClosed = true;
    this.#resolvePendingRead?.({ done: true, value: undefined });
    this.#resolvePendingRead = undefined;
    this.#notifyDrainWaiters();
  }

  /** Ends the iteration immediately and drops all queued messages. */
  abort(): void {
    this.#queue.length = 0;
    this.close();
  }

  /** Resolves once no more than `maximum` messages are queued, or the stream is closed. */
  async waitUntilBelow(maximum: number): Promise<void> {
    while (this.#queue.length > maximum && !this.#isClosed) {
      await new Promise<void>((resolve) => {
        this.#drainWaiters.push(resolve);
      });
    }
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  next(): Promise<IteratorResult<RunResponse, undefined>> {
    const message = this.#queue.shift();
    if (message !== undefined) {
      this.#notifyDrainWaiters();
      return Promise.resolve({ done: false, value: encodeMessage(toMessage(message)) });
    }
    if (this.#isClosed) {
      return Promise.resolve({ done: true, value: undefined });
    }
    return new Promise((resolve) => {
      this.#resolvePendingRead = resolve;
    });
  }

  return(): Promise<IteratorResult<RunResponse, undefined>> {
    this.abort();
    return Promise.resolve({ done: true, value: undefined });
  }

  #enqueue(message: AttemptMessage): void {
    if (message.type !== 'data') {
      this.#queue.push(message);
      return;
    }
    const { offset, bytes } = message;
    const last = this.#queue.at(-1);
    const isAdjacent = last?.type === 'joined' && last.offset + last.size === offset;
    if (isAdjacent && last.size + bytes.length <= maximumJoinedBytes) {
      last.chunks.push(bytes);
      last.size += bytes.length;
      return;
    }
    this.#queue.push({ type: 'joined', offset, chunks: [bytes], size: bytes.length });
  }

  #notifyDrainWaiters(): void {
    const waiters = this.#drainWaiters;
    if (waiters.length === 0) {
      return;
    }
    this.#drainWaiters = [];
    for (const resolve of waiters) {
      resolve();
    }
  }
}

function toMessage(queued: QueuedMessage): AttemptMessage {
  if (queued.type !== 'joined') {
    return queued;
  }
  const [first] = queued.chunks;
  const isSingle = queued.chunks.length === 1 && first !== undefined;
  const bytes = isSingle ? first : Buffer.concat(queued.chunks);
  return { type: 'data', offset: queued.offset, bytes };
}
