import type { Snapshot } from './entry.js';
import type { SnapshotChunkMessage } from './messages.js';

/** Puts the chunks of one leader's snapshot together; two leaders may write the same state differently. */
export class SnapshotAssembly {
  readonly #first: SnapshotChunkMessage;
  readonly #parts: string[] = [];
  #length = 0;

  constructor(first: SnapshotChunkMessage) {
    this.#first = first;
  }

  get wantedOffset(): number {
    return this.#length;
  }

  get isWhole(): boolean {
    return this.#length === this.#first.totalLength;
  }

  isOf(message: SnapshotChunkMessage): boolean {
    return (
      this.#first.term === message.term &&
      this.#first.snapshotIndex === message.snapshotIndex &&
      this.#first.totalLength === message.totalLength
    );
  }

  /** Adds the next chunk; any other is left out, and the leader is told which one is wanted. */
  add(message: SnapshotChunkMessage): void {
    if (message.offset !== this.#length) {
      return;
    }
    this.#parts.push(message.data);
    this.#length += message.data.length;
  }

  assemble(): Snapshot {
    return {
      index: this.#first.snapshotIndex,
      term: this.#first.snapshotTerm,
      membership: this.#first.membership,
      data: this.#parts.join(''),
    };
  }
}
