/** A bounded FIFO queue that feeds a stream of messages. */

const defaultCapacity = 10_000;

interface QueuedMessage<Message> {
  readonly message: Message;
  /** Later messages on the same topic replace this one; undefined if it must not be replaced. */
  readonly topic: string | undefined;
}

/**
 * Connects code that pushes messages to a Connect stream that pulls them.
 * Without a bound, a peer that stopped reading would let the queue grow until the process runs out of memory.
 * When the capacity is exceeded, the queue closes, which ends the stream, and the peer reconnects.
 */
export class MessageQueue<Message> implements AsyncIterable<Message> {
  readonly #capacity: number;
  #queue: QueuedMessage<Message>[] = [];
  #wake: (() => void) | undefined;
  #isClosed = false;

  constructor(capacity: number = defaultCapacity) {
    this.#capacity = capacity;
  }

  /** Adds a message; does nothing once the queue is closed. */
  push(message: Message): void {
    this.#add({ message, topic: undefined });
  }

  /**
   * Adds a message and drops a queued earlier one on the same topic. Otherwise a slow reader, or one behind a slow link, would get the
   * newest message only after all the messages that it supersedes.
   */
  pushLatest(topic: string, message: Message): void {
    if (!this.#isClosed) {
      this.#queue = this.#queue.filter((queued) => queued.topic !== topic);
    }
    this.#add({ message, topic });
  }

  #add(queued: QueuedMessage<Message>): void {
    if (this.#isClosed) {
      return;
    }
    if (this.#queue.length >= this.#capacity) {
      this.close();
      return;
    }
    this.#queue.push(queued);
    this.#wake?.();
  }

  /** Ends the stream once the queued messages are read. */
  close(): void {
    this.#isClosed = true;
    this.#wake?.();
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  async *[Symbol.asyncIterator](): AsyncIterator<Message> {
    for (;;) {
      const next = this.#queue.shift();
      if (next !== undefined) {
        yield next.message;
        continue;
      }
      if (this.#isClosed) {
        return;
      }
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
      this.#wake = undefined;
    }
  }
}
