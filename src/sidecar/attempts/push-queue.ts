/** Messages on their way to one connection: pushed by decisions, pulled by the connection at its own pace. */
export class PushQueue<Item> implements AsyncIterable<Item> {
  #items: Item[] = [];
  #isClosed = false;
  #wake: (() => void) | undefined;
  #drained: (() => void)[] = [];

  /** Items that the connection has not taken yet. */
  get length(): number {
    return this.#items.length;
  }

  push(item: Item): void {
    if (!this.#isClosed) {
      this.#items.push(item);
      this.#wake?.();
    }
  }

  /** Ends the iteration once all items are taken. */
  close(): void {
    this.#isClosed = true;
    this.#wake?.();
    this.#release();
  }

  /** Ends the iteration now; what was not taken is dropped. */
  abandon(): void {
    this.#items = [];
    this.close();
  }

  /** Resolves once no more than `maximum` items are left, or the queue is closed. */
  async waitUntilBelow(maximum: number): Promise<void> {
    while (this.#items.length > maximum && !this.#isClosed) {
      await new Promise<void>((resolve) => {
        this.#drained.push(resolve);
      });
    }
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Item> {
    for (;;) {
      const items = this.#items;
      this.#items = [];
      this.#release();
      yield* items;
      if (this.#items.length > 0) {
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

  #release(): void {
    const waiting = this.#drained;
    this.#drained = [];
    for (const resolve of waiting) {
      resolve();
    }
  }
}
