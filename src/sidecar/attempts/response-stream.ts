import { ByteBuffer } from '../../common/index.js';
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
  readonly first: Uint8Array;
  /** Copies, as a list of small chunks would need far more memory than their bytes. */
  readonly others: ByteBuffer;
}

type QueuedMessage = Exclude<AttemptMessage, DataMessage> | JoinedData;

/**
 * Queue of outgoing messages for one connection, which reads them at its own pace.
 * Data queued while the connection is busy is sent in fewer, larger frames. No message is delayed to fill a frame.
 * Implemented as a plain iterator instead of an async generator, because it is invoked for every token.
 */
export class ResponseStream implements AsyncIterableIterator<RunResponse> {
  readonly #queue: QueuedMessage[] = [];
  #queuedBytes = 0;
  #isClosed = false;
  #resolvePendingRead: ((result: IteratorResult<RunResponse, undefined>) => void) | undefined;
  #drainWaiters: (() => void)[] = [];

  /** Number of messages that the connection has not read yet. */
  get length(): number {
    return this.#queue.length;
  }

  /** Whether the connection has more messages or data bytes left to read. */
  isAbove(messages: number, bytes: number): boolean {
    return this.#queue.length > messages || this.#queuedBytes > bytes;
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
    this.#queuedBytes = 0;
    this.close();
  }

  /** Resolves once no more messages or data bytes are queued, or the stream is closed. */
  async waitUntilBelow(messages: number, bytes: number): Promise<void> {
    while (this.isAbove(messages, bytes) && !this.#isClosed) {
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
      this.#queuedBytes -= message.type === 'joined' ? measure(message) : 0;
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
    this.#queuedBytes += bytes.length;
    const last = this.#queue.at(-1);
    const isAdjacent = last?.type === 'joined' && last.offset + measure(last) === offset;
    if (isAdjacent && measure(last) + bytes.length <= maximumJoinedBytes) {
      last.others.append(bytes);
      return;
    }
    this.#queue.push({ type: 'joined', offset, first: bytes, others: new ByteBuffer() });
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

function measure({ first, others }: JoinedData): number {
  return first.length + others.length;
}

function toMessage(queued: QueuedMessage): AttemptMessage {
  if (queued.type !== 'joined') {
    return queued;
  }
  const { offset, first, others } = queued;
  const bytes = others.length === 0 ? first : Buffer.concat([first, others.bytes]);
  return { type: 'data', offset, bytes };
}
