/** Opens the parts of a process in order and closes them in reverse order. */

/** A part of a process that has to be started and released, such as a server or a timer. */
export interface ManagedPart {
  readonly name: string;
  /** Starts the part; rejects when it cannot start. */
  readonly open: () => Promise<void> | void;
  /** Releases the part; called once, in reverse order of opening. */
  readonly close: () => Promise<void> | void;
}

/** Receives each lifecycle step, for logging. */
export interface LifecycleObserver {
  readonly opened: (name: string) => void;
  readonly closed: (name: string) => void;
  readonly failed: (name: string, error: unknown) => void;
}

/** Manages the cleanup of a process: closes every opened part once, in reverse order, even if some of them fail. */
export class LifecycleManager {
  readonly #parts: ManagedPart[] = [];
  readonly #opened: ManagedPart[] = [];
  readonly #observer: LifecycleObserver;
  #closing: Promise<void> | undefined;

  constructor(observer: LifecycleObserver) {
    this.#observer = observer;
  }

  /** Adds a part; parts are opened in the order in which they were added. */
  add(part: ManagedPart): void {
    this.#parts.push(part);
  }

  /** Opens all parts. If one fails, closes those already open and rejects with its error. */
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
