/**
 * Buffers the last bytes of one response, so that a gateway whose connection went silent can resume at its offset.
 * The size is limited: the oldest bytes are dropped first, and `firstOffset` is the start of the bytes that remain.
 */
export class ResumeBuffer {
  readonly #maximumBytes: number;
  #chunks: Uint8Array[] = [];
  #firstOffset = 0;
  #nextOffset = 0;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /** Offset of the oldest buffered byte. */
  get firstOffset(): number {
    return this.#firstOffset;
  }

  /** Offset of the next byte to be appended. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** Number of buffered bytes. */
  get size(): number {
    return this.#nextOffset - this.#firstOffset;
  }

  /** Appends bytes and returns their offset. */
  append(bytes: Uint8Array): number {
    const offset = this.#nextOffset;
    this.#chunks.push(bytes);
    this.#nextOffset += bytes.length;
    this.#trim();
    return offset;
  }

  /** Returns the bytes from an offset on; undefined if they were dropped or have not been received yet. */
  readFrom(offset: number): readonly Uint8Array[] | undefined {
    if (offset < this.#firstOffset || offset > this.#nextOffset) {
      return undefined;
    }
    const found: Uint8Array[] = [];
    let position = this.#firstOffset;
    for (const chunk of this.#chunks) {
      const end = position + chunk.length;
      if (end > offset) {
        found.push(chunk.subarray(Math.max(0, offset - position)));
      }
      position = end;
    }
    return found;
  }

  /** Drops all bytes; the next offset stays the same. */
  clear(): void {
    this.#chunks = [];
    this.#firstOffset = this.#nextOffset;
  }

  #trim(): void {
    let dropped = 0;
    while (this.size > this.#maximumBytes) {
      const oldest = this.#chunks[dropped];
      if (oldest === undefined) {
        break;
      }
      this.#firstOffset += oldest.length;
      dropped += 1;
    }
    if (dropped > 0) {
      this.#chunks.splice(0, dropped);
    }
  }
}
