/** Storage for a body that arrives in pieces of any size. It reserves memory before it takes bytes, and copies them out of what was read. */

/** A body without an announced length begins with a block of this size; each further one is as large as all before it, within bounds. */
const firstBlockBytes = 4 * 1024;
const maximumBlockBytes = 64 * 1024;

/** Reserves memory; false if there is none. */
export type ReserveMemory = (bytes: number) => boolean;

export class BodyStorage {
  readonly #reserve: ReserveMemory;
  readonly #blocks: Buffer[] = [];
  /** Free bytes at the end of the last block. */
  #free = 0;
  #length = 0;

  constructor(reserve: ReserveMemory) {
    this.#reserve = reserve;
  }

  get length(): number {
    return this.#length;
  }

  /** Reserves the whole body at once, if its length is known. */
  allocate(bytes: number): boolean {
    if (!this.#reserve(bytes)) {
      return false;
    }
    // Not from Node's pool, which would be kept in memory by the smallest part of it.
    this.#blocks.push(Buffer.allocUnsafeSlow(bytes));
    this.#free = bytes;
    return true;
  }

  /** Takes a copy of the bytes; false if there is no memory for them. */
  append(bytes: Buffer): boolean {
    let rest = bytes;
    while (rest.length > 0) {
      if (this.#free === 0 && !this.allocate(this.#chooseBlockBytes())) {
        return false;
      }
      rest = rest.subarray(this.#fillBlock(rest));
    }
    return true;
  }

  /** The whole body in one piece, which needs twice its memory for a moment; undefined if that is not available. */
  join(): Buffer | undefined {
    const [first, ...others] = this.#blocks;
    if (first === undefined || others.length === 0) {
      return (first ?? Buffer.alloc(0)).subarray(0, this.#length);
    }
    return this.#reserve(this.#length) ? Buffer.concat(this.#blocks, this.#length) : undefined;
  }

  clear(): void {
    this.#blocks.length = 0;
    this.#free = 0;
    this.#length = 0;
  }

  #chooseBlockBytes(): number {
    return Math.min(maximumBlockBytes, Math.max(firstBlockBytes, this.#length));
  }

  /** Copies what fits into the last block; returns how much that is. */
  #fillBlock(bytes: Buffer): number {
    const block = this.#blocks.at(-1);
    const count = Math.min(bytes.length, this.#free);
    bytes.copy(block ?? bytes, (block?.length ?? 0) - this.#free, 0, count);
    this.#free -= count;
    this.#length += count;
    return count;
  }
}
