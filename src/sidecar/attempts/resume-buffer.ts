import { ByteBlocks } from '../../common/index.js';

/** Bytes are dropped in blocks of at most this share of the buffer. */
const blockShare = 1 / 64;

/**
 * Buffers the last bytes of one response, so that a gateway whose connection went silent can resume at its offset.
 * The size is limited: the oldest bytes are dropped first, and `firstOffset` is the start of the bytes that remain.
 */
export class ResumeBuffer {
  readonly #maximumBytes: number;
  readonly #blocks: ByteBlocks;
  #firstOffset = 0;
  #nextOffset = 0;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
    this.#blocks = new ByteBlocks(maximumBytes * blockShare);
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
    this.#blocks.append(bytes);
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
    for (const block of this.#blocks.blocks) {
      const end = position + block.length;
      if (end > offset) {
        found.push(block.subarray(Math.max(0, offset - position)));
      }
      position = end;
    }
    return found;
  }

  /** Drops all bytes; the next offset stays the same. */
  clear(): void {
    this.#blocks.clear();
    this.#firstOffset = this.#nextOffset;
  }

  #trim(): void {
    while (this.size > this.#maximumBytes) {
      this.#firstOffset += this.#blocks.removeFirst() ?? this.size;
    }
  }
}
