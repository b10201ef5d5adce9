const noBytes = Buffer.alloc(0);
/** Capacity is multiplied by this, so that bytes that arrive one by one are copied only a few times. */
const growth = 2;

/**
 * Collects received bytes in one buffer. It copies them: a received buffer is often a small part of a large one, and would keep all of it in
 * memory.
 */
export class ByteBuffer {
  #storage: Buffer = noBytes;
  #start = 0;
  #end = 0;

  get length(): number {
    return this.#end - this.#start;
  }

  /** The bytes held; stays valid after later changes. */
  get bytes(): Buffer {
    return this.#storage.subarray(this.#start, this.#end);
  }

  append(bytes: Uint8Array): void {
    if (this.#end + bytes.length > this.#storage.length) {
      this.#grow(bytes.length);
    }
    this.#storage.set(bytes, this.#end);
    this.#end += bytes.length;
  }

  /** Removes the first bytes and returns them. */
  take(length: number): Buffer {
    const taken = this.bytes.subarray(0, length);
    this.#start += taken.length;
    if (this.length === 0) {
      this.clear();
    }
    return taken;
  }

  clear(): void {
    this.#storage = noBytes;
    this.#start = 0;
    this.#end = 0;
  }

  /** Bytes that were taken or read before may still be in use, so they are never moved. */
  #grow(additional: number): void {
    const held = this.bytes;
    const needed = held.length + additional;
    this.#storage = Buffer.allocUnsafe(held.length === 0 ? needed : needed * growth);
    held.copy(this.#storage);
    this.#start = 0;
    this.#end = held.length;
  }
}
