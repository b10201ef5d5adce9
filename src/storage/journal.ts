import type { DiskChange } from '../consensus/core/index.js';

/** Where a journal writes: a data folder, or a stand-in. */
export interface ChangeWriter {
  /** All changes are synced when it resolves. */
  readonly write: (changes: readonly DiskChange[]) => Promise<void>;
}

/** Told how the writes go. */
export interface JournalObserver {
  /** This write and all before it are synced. */
  readonly persisted: (write: number) => void;
  /** The disk refused; nothing may be answered any more. */
  readonly failed: (error: unknown) => void;
}

interface QueuedChange {
  readonly write: number;
  readonly change: DiskChange;
}

/** Writes changes in order; all that came during one sync share the next one. */
export class Journal {
  readonly #writer: ChangeWriter;
  readonly #observer: JournalObserver;
  #queue: QueuedChange[] = [];
  #running: Promise<void> | undefined;
  #hasFailed = false;

  constructor(writer: ChangeWriter, observer: JournalObserver) {
    this.#writer = writer;
    this.#observer = observer;
  }

  add(write: number, change: DiskChange): void {
    if (this.#hasFailed) {
      return;
    }
    this.#queue.push({ write, change });
    this.#running ??= this.#run();
  }

  /** Resolves once nothing is being written. */
  async drain(): Promise<void> {
    await this.#running;
  }

  async #run(): Promise<void> {
    try {
      // What the present event still adds belongs to the first batch.
      await Promise.resolve();
      while (this.#queue.length > 0) {
        await this.#writeBatch();
      }
    } catch (error) {
      // After a failed sync nobody knows what is on the disk, so later writes would not make it right.
      this.#hasFailed = true;
      this.#observer.failed(error);
    } finally {
      this.#running = undefined;
    }
  }

  async #writeBatch(): Promise<void> {
    const batch = this.#queue;
    this.#queue = [];
    await this.#writer.write(batch.map(({ change }) => change));
    const last = batch.at(-1);
    if (last !== undefined) {
      this.#observer.persisted(last.write);
    }
  }
}
