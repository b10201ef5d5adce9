/**
 * The last bytes of one answer, so that a gateway whose connection went silent can go on from its offset.
 * Bounded: the oldest bytes go first, and `firstOffset` says where what is left begins.
 */
export class ResumeBuffer {
  readonly #maximumBytes: number;
  #chunks: Uint8Array[] = [];
  #firstOffset = 0;
  #nextOffset = 0;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /** Offset of the oldest byte still held. */
  get firstOffset(): number {
    return this.#firstOffset;
  }

  /** Offset of the byte that comes next. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** Bytes held. */
  get size(): number {
    return this.#nextOffset - this.#firstOffset;
  }

  /** Adds the next bytes and returns their offset. */
  append(bytes: Uint8Array): number {
    const offset = this.#nextOffset;
    this.#chunks.push(bytes);
    this.#nextOffset += bytes.length;
    this.#trim();
    return offset;
  }

  /** The bytes from an offset on; undefined when they are gone or have not come yet. */
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

  /** Lets go of all bytes; offsets stay. */
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
