/** Event that ends a stream of chat completions. */
const doneEvent = 'data: [DONE]';
const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const noBytes = Buffer.alloc(0);

/**
 * Splits a stream of server-sent events at event boundaries and holds back the final `[DONE]`.
 *
 * An answer may break inside an event, or after the upstream sent `[DONE]` but before the sidecar confirmed that the
 * answer is complete. Without framing the caller would see a partial event, or take a broken answer for a complete one.
 * With it the caller sees `[DONE]` only after the end of a complete answer.
 */
export class EventFramer {
  #held: Buffer = noBytes;

  /** Number of bytes currently held back. */
  get heldBytes(): number {
    return this.#held.length;
  }

  /** Whether the bytes so far end inside an event. */
  get isInsideEvent(): boolean {
    return findLastEventEnd(this.#held, this.#held.length) < this.#held.length;
  }

  /** Adds bytes and returns the complete events that can be sent to the caller. */
  push(bytes: Uint8Array): Uint8Array {
    const buffer =
      this.#held.length === 0 ? viewAsBuffer(bytes) : Buffer.concat([this.#held, bytes]);
    const end = findLastEventEnd(buffer, buffer.length);
    if (end === 0) {
      this.#held = buffer;
      return noBytes;
    }
    const start = findLastEventEnd(buffer, end - 1);
    const isDone = buffer.toString('utf8', start, end).trim() === doneEvent;
    const cut = isDone ? start : end;
    this.#held = buffer.subarray(cut);
    return buffer.subarray(0, cut);
  }

  /** Returns the bytes held back; called when the answer is complete. */
  finish(): Uint8Array {
    const rest = this.#held;
    this.#held = noBytes;
    return rest;
  }
}

/** Wraps the bytes without copying. */
function viewAsBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Offset after the last blank line that ends at or before `limit`; 0 if there is none. */
function findLastEventEnd(buffer: Buffer, limit: number): number {
  for (let at = limit - 1; at > 0; at -= 1) {
    if (buffer[at] !== lineFeed) {
      continue;
    }
    const isBlank =
      buffer[at - 1] === lineFeed ||
      (buffer[at - 1] === carriageReturn && buffer[at - 2] === lineFeed);
    if (isBlank) {
      return at + 1;
    }
  }
  return 0;
}
