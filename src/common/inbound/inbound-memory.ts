import type { Clock, Milliseconds } from '../time.js';

/** Owns the memory of what the clients of a process send, over all of its ports; free of I/O. */

/** What the objects of one request take beside its body. */
const requestOverheadBytes = 4 * 1024;
/** A request that holds no more than this is small. */
const smallBytes = 64 * 1024;
/** Part of the limit that large requests may fill together; the rest is for small ones, which large ones would shut out. */
const largePart = 0.75;
/** A client that has sent less than `progressBytes` in this time gives way to others. */
const stallPeriod: Milliseconds = 1000;
const progressBytes = 4 * 1024;

/** Time after which a client that was refused should return: by then, those that have stopped sending give way. */
export const memoryRetryAfter: Milliseconds = stallPeriod;

/** Memory that one request holds. */
export interface InboundHold {
  /** Bytes that are reserved, without the overhead of the request. */
  readonly bytes: number;
  /** Reserves more; false if the memory is taken. */
  readonly reserve: (bytes: number) => boolean;
  /** Keeps only so many bytes. */
  readonly shrinkTo: (bytes: number) => void;
  readonly noteReceived: (bytes: number) => void;
  /** The request has arrived; from now on it does not give way. */
  readonly noteComplete: () => void;
  readonly release: () => void;
}

interface Holder {
  /** Undefined once the memory has been released. */
  bytes: number | undefined;
  /** Bytes that have arrived since the last progress. */
  recentBytes: number;
  progressAt: Milliseconds;
  readonly giveUp: () => void;
}

export class InboundMemory {
  readonly #limit: number;
  readonly #clock: Clock;
  /** Holders that are still being sent, in the order of their last progress. */
  readonly #receiving = new Set<Holder>();
  #heldBytes = 0;
  /** The part of it that large requests hold, and their number. */
  #largeBytes = 0;
  #largeHolders = 0;

  /** `limit`: bytes for all clients together. One large request fits even if it alone exceeds it. */
  constructor(limit: number, clock: Clock) {
    this.#limit = limit;
    this.#clock = clock;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * Begins to account for a request; undefined if there is no memory even for a small one. `giveUp` is called if the client has stopped
   * sending and others need the memory, which is released by then.
   */
  open(giveUp: () => void): InboundHold | undefined {
    const now = this.#clock.monotonic();
    const holder: Holder = { bytes: 0, recentBytes: 0, progressAt: now, giveUp };
    if (!this.#reserve(holder, requestOverheadBytes)) {
      return undefined;
    }
    this.#receiving.add(holder);
    return this.#createHold(holder);
  }

  #createHold(holder: Holder): InboundHold {
    return {
      get bytes() {
        return Math.max(0, (holder.bytes ?? 0) - requestOverheadBytes);
      },
      reserve: (bytes) => this.#reserve(holder, bytes),
      shrinkTo: (bytes) => {
        if (holder.bytes !== undefined) {
          this.#resize(holder, Math.min(holder.bytes, bytes + requestOverheadBytes));
        }
      },
      noteReceived: (bytes) => {
        this.#noteReceived(holder, bytes);
      },
      noteComplete: () => {
        this.#receiving.delete(holder);
      },
      release: () => {
        this.#release(holder);
      },
    };
  }

  #reserve(holder: Holder, bytes: number): boolean {
    if (holder.bytes === undefined) {
      return false;
    }
    if (!this.#fits(holder, bytes)) {
      this.#dropStalled(holder, bytes);
    }
    if (!this.#fits(holder, bytes)) {
      return false;
    }
    this.#resize(holder, holder.bytes + bytes);
    return true;
  }

  #fits(holder: Holder, bytes: number): boolean {
    const own = holder.bytes ?? 0;
    const total = this.#heldBytes + bytes;
    if (!isLarge(own + bytes)) {
      const smallHeld = total - this.#largeBytes;
      return total <= this.#limit || smallHeld <= this.#limit * (1 - largePart);
    }
    const otherLargeHolders = this.#largeHolders - (isLarge(own) ? 1 : 0);
    return otherLargeHolders === 0 || total <= this.#limit * largePart;
  }

  /** Releases clients that have stopped sending, the longest silent first, until the bytes fit. */
  #dropStalled(holder: Holder, bytes: number): void {
    const stalledBefore = this.#clock.monotonic() - stallPeriod;
    for (const other of this.#receiving) {
      if (other.progressAt > stalledBefore || this.#fits(holder, bytes)) {
        return;
      }
      if (other !== holder) {
        this.#release(other);
        other.giveUp();
      }
    }
  }

  #noteReceived(holder: Holder, bytes: number): void {
    holder.recentBytes += bytes;
    if (holder.recentBytes >= progressBytes && this.#receiving.delete(holder)) {
      holder.recentBytes = 0;
      holder.progressAt = this.#clock.monotonic();
      this.#receiving.add(holder);
    }
  }

  #release(holder: Holder): void {
    this.#receiving.delete(holder);
    this.#resize(holder, 0);
    holder.bytes = undefined;
  }

  #resize(holder: Holder, bytes: number): void {
    const before = holder.bytes ?? 0;
    this.#heldBytes += bytes - before;
    this.#largeBytes += countLarge(bytes) - countLarge(before);
    this.#largeHolders += Number(isLarge(bytes)) - Number(isLarge(before));
    holder.bytes = bytes;
  }
}

function countLarge(bytes: number): number {
  return isLarge(bytes) ? bytes : 0;
}

function isLarge(bytes: number): boolean {
  return bytes > smallBytes + requestOverheadBytes;
}
