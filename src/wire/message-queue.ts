/** A bounded first-in first-out queue that a stream of messages reads from. */

const defaultCapacity = 10_000;

/**
 * Feeds a Connect stream from code that pushes.
 * A reader that stopped reading would let the queue grow until the process runs out of memory;
 * past the capacity the queue closes itself, which ends the stream, and the peer connects again.
 */
export class MessageQueue<Message> implements AsyncIterable<Message> {
  readonly #capacity: number;
  readonly #waiting: Message[] = [];
  #wake: (() => void) | undefined;
  #isClosed = false;

  constructor(capacity: number = defaultCapacity) {
    this.#capacity = capacity;
  }

  /** Adds a message; ignored once closed. */
  push(message: Message): void {
    if (this.#isClosed) {
      return;
    }
    if (this.#waiting.length >= this.#capacity) {
      this.close();
      return;
    }
    this.#waiting.push(message);
    this.#wake?.();
  }

  /** Ends the stream after what is already queued. */
  close(): void {
    this.#isClosed = true;
    this.#wake?.();
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  async *[Symbol.asyncIterator](): AsyncIterator<Message> {
    for (;;) {
      const next = this.#waiting.shift();
      if (next !== undefined) {
        yield next;
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
