import type { Milliseconds } from '../../src/common/index.js';
import type { DroppedEntry, QueueEntry, RequestQueue } from '../../src/dispatch/index.js';

/** Newest first, regardless of accounts and priorities. A request is refused only when its time is over. */
export class NewestFirstQueue<Entry extends QueueEntry> implements RequestQueue<Entry> {
  /** In the order of arrival. */
  #waiting: readonly Entry[] = [];

  get length(): number {
    return this.#waiting.length;
  }

  offer(entry: Entry): void {
    this.#waiting = [...this.#waiting, entry];
  }

  next(_now: Milliseconds, isServable: (entry: Entry) => boolean): Entry | undefined {
    const entry = this.#waiting.findLast(isServable);
    if (entry !== undefined) {
      this.withdraw(entry.id);
    }
    return entry;
  }

  expire(now: Milliseconds): readonly DroppedEntry<Entry>[] {
    const dropped = this.#waiting
      .toReversed()
      .map((entry, position) => ({ entry, position }))
      .filter(({ entry }) => now >= entry.refuseAt);
    this.#waiting = this.#waiting.filter(({ refuseAt }) => now < refuseAt);
    return dropped.map((drop) => ({
      ...drop,
      reason: 'waitedTooLong',
      expectedWait: 0,
      slotInterval: 0,
    }));
  }

  withdraw(id: string): void {
    this.#waiting = this.#waiting.filter((entry) => entry.id !== id);
  }
}
