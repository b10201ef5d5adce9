/** A bounded first-in first-out queue that a stream of messages reads from. */

const defaultCapacity = 10_000;

interface Waiting<Message> {
  readonly message: Message;
  /** What it is the latest word on; undefined where every message counts. */
  readonly topic: string | undefined;
}

/**
 * Feeds a Connect stream from code that pushes.
 * A reader that stopped reading would let the queue grow until the process runs out of memory;
 * past the capacity the queue closes itself, which ends the stream, and the peer connects again.
 */
export class MessageQueue<Message> implements AsyncIterable<Message> {
  readonly #capacity: number;
  #waiting: Waiting<Message>[] = [];
  #wake: (() => void) | undefined;
  #isClosed = false;

  constructor(capacity: number = defaultCapacity) {
    this.#capacity = capacity;
  }

  /** Adds a message; ignored once closed. */
  push(message: Message): void {
    this.#add({ message, topic: undefined });
  }

  /**
   * Adds a message that makes an earlier one on the topic needless, if that still waits. A reader that is slow, or behind a slow link,
   * would otherwise get the newest word only after all that it has replaced.
   */
  pushLatest(topic: string, message: Message): void {
    if (!this.#isClosed) {
      this.#waiting = this.#waiting.filter((waiting) => waiting.topic !== topic);
    }
    this.#add({ message, topic });
  }

  #add(waiting: Waiting<Message>): void {
    if (this.#isClosed) {
      return;
    }
    if (this.#waiting.length >= this.#capacity) {
      this.close();
      return;
    }
    this.#waiting.push(waiting);
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
