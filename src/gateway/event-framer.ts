/** Marker that ends a stream of chat completions. */
const doneEvent = 'data: [DONE]';
const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const noBytes = Buffer.alloc(0);

/**
 * Cuts a stream of server-sent events at the ends of events and holds the final `[DONE]` back.
 *
 * What goes wrong without it: an answer breaks inside an event, or right after `[DONE]` left the upstream but before the
 * sidecar said that the answer is whole; the caller would see half an event, or take a broken answer for a whole one.
 * With it a caller sees `[DONE]` only after the end of a whole answer.
 */
export class EventFramer {
  #held: Buffer = noBytes;

  /** Bytes held back now. */
  get heldBytes(): number {
    return this.#held.length;
  }

  /** Takes the next bytes and returns the whole events that can go to the caller. */
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

  /** The answer is whole: returns what was held back. */
  finish(): Uint8Array {
    const rest = this.#held;
    this.#held = noBytes;
    return rest;
  }
}

/** The same bytes, not a copy. */
function viewAsBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Offset behind the last blank line that ends before `limit`; 0 when there is none. */
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
