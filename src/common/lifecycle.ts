/** Opens and closes the parts of a process in order. */

/** A part with something to release. */
export interface ManagedPart {
  readonly name: string;
  /** Starts the part; rejects when it cannot start. */
  readonly open: () => Promise<void> | void;
  /** Releases the part; called once, in reverse order of opening. */
  readonly close: () => Promise<void> | void;
}

/** Told about each step, for logs. */
export interface LifecycleObserver {
  readonly opened: (name: string) => void;
  readonly closed: (name: string) => void;
  readonly failed: (name: string, error: unknown) => void;
}

/** Owns the clean-up of a process: what was opened is closed in reverse order, once, whatever fails. */
export class LifecycleManager {
  readonly #parts: ManagedPart[] = [];
  readonly #opened: ManagedPart[] = [];
  readonly #observer: LifecycleObserver;
  #closing: Promise<void> | undefined;

  constructor(observer: LifecycleObserver) {
    this.#observer = observer;
  }

  /** Adds a part; parts open in the order in which they were added. */
  add(part: ManagedPart): void {
    this.#parts.push(part);
  }

  /** Opens all parts; when one fails, closes those already open and rejects with its error. */
  async open(): Promise<void> {
    for (const part of this.#parts) {
      try {
        await part.open();
      } catch (error) {
        this.#observer.failed(part.name, error);
        await this.close();
        throw error;
      }
      this.#opened.push(part);
      this.#observer.opened(part.name);
    }
  }

  /** Closes all open parts; a second call waits for the first. */
  close(): Promise<void> {
    this.#closing ??= this.#closeAll();
    return this.#closing;
  }

  async #closeAll(): Promise<void> {
    for (let part = this.#opened.pop(); part !== undefined; part = this.#opened.pop()) {
      try {
        await part.close();
        this.#observer.closed(part.name);
      } catch (error) {
        this.#observer.failed(part.name, error);
      }
    }
  }
}
