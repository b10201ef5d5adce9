import { ByteBuffer } from './byte-buffer.js';

/** Pieces that are kept by themselves; most responses have no more. */
const separatePieces = 32;

/**
 * Collects received bytes in a few blocks, which are copies. An upstream may send its bytes one by one, and an object for each of them would
 * need a hundred times their memory.
 */
export class ByteBlocks {
  readonly #blockBytes: number;
  #blocks: ByteBuffer[] = [];

  /** All pieces but the first ones are joined up to a size of `blockBytes`. */
  constructor(blockBytes: number) {
    this.#blockBytes = blockBytes;
  }

  get blocks(): readonly Buffer[] {
    return this.#blocks.map(({ bytes }) => bytes);
  }

  append(bytes: Uint8Array): void {
    const last = this.#blocks.length < separatePieces ? undefined : this.#blocks.at(-1);
    if (last !== undefined && last.length + bytes.length <= this.#blockBytes) {
      last.append(bytes);
      return;
    }
    const block = new ByteBuffer();
    block.append(bytes);
    this.#blocks.push(block);
  }

  /** Removes the oldest block and returns its size; undefined if there is none. */
  removeFirst(): number | undefined {
    return this.#blocks.shift()?.length;
  }

  clear(): void {
    this.#blocks = [];
  }
}
