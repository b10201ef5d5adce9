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

/** How opening ended: `closed` if a close was requested meanwhile. */
export type OpenOutcome = 'open' | 'closed';

type Opening =
  { readonly type: OpenOutcome } | { readonly type: 'failed'; readonly error: unknown };

/**
 * Manages the cleanup of a process: closes every opened part once, in reverse order, even if some of them fail. After a close was
 * requested no further part opens, and one that is opening is closed once it is open.
 */
export class LifecycleManager {
  readonly #parts: ManagedPart[] = [];
  readonly #opened: ManagedPart[] = [];
  readonly #observer: LifecycleObserver;
  #opening: Promise<Opening> | undefined;
  #closing: Promise<void> | undefined;

  constructor(observer: LifecycleObserver) {
    this.#observer = observer;
  }

  /** Adds a part; parts are opened in the order in which they were added. */
  add(part: ManagedPart): void {
    this.#parts.push(part);
  }

  /** Opens all parts. If one fails, closes those already open and rejects with its error. */
  async open(): Promise<OpenOutcome> {
    this.#opening = this.#openParts();
    const opening = await this.#opening;
    if (opening.type !== 'open') {
      await this.close();
    }
    if (opening.type === 'failed') {
      throw opening.error;
    }
    return opening.type;
  }

  /** Closes all open parts; a second call waits for the first. */
  close(): Promise<void> {
    this.#closing ??= this.#closeParts();
    return this.#closing;
  }

  async #openParts(): Promise<Opening> {
    for (const part of this.#parts) {
      if (this.#closing !== undefined) {
        return { type: 'closed' };
      }
      try {
        await part.open();
      } catch (error) {
        this.#observer.failed(part.name, error);
        return { type: 'failed', error };
      }
      this.#opened.push(part);
      this.#observer.opened(part.name);
    }
    return { type: this.#closing === undefined ? 'open' : 'closed' };
  }

  async #closeParts(): Promise<void> {
    await this.#opening;
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
