import type { DiskChange } from '../consensus/core/index.js';

/** Destination of a journal: a data folder, or a test double. */
export interface ChangeWriter {
  /** Resolves once all changes are synced. */
  readonly write: (changes: readonly DiskChange[]) => Promise<void>;
}

/** Receives the outcome of the writes. */
export interface JournalObserver {
  /** Called when this write and all earlier ones are synced. */
  readonly persisted: (write: number) => void;
  /** Called when a write failed; nothing may be acknowledged from then on. */
  readonly failed: (error: unknown) => void;
}

interface QueuedChange {
  readonly write: number;
  readonly change: DiskChange;
}

/** Writes changes in order (group commit): all changes added during one sync share the next one. */
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

  /** Resolves once all queued changes are written, or a write has failed. */
  async drain(): Promise<void> {
    await this.#running;
  }

  async #run(): Promise<void> {
    try {
      // Lets the current event add its remaining changes to the first batch.
      await Promise.resolve();
      while (this.#queue.length > 0) {
        await this.#writeBatch();
      }
    } catch (error) {
      // After a failed sync the content of the disk is unknown, and a later successful write would not repair it.
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
