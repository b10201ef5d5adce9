import type { Snapshot } from './entry.js';
import type { SnapshotChunkMessage } from './messages.js';

/** Reassembles a snapshot from the chunks of one leader; two leaders may serialize the same state differently. */
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

  get isComplete(): boolean {
    return this.#length === this.#first.totalLength;
  }

  matches(message: SnapshotChunkMessage): boolean {
    return (
      this.#first.term === message.term &&
      this.#first.snapshotIndex === message.snapshotIndex &&
      this.#first.totalLength === message.totalLength
    );
  }

  /** Adds the next chunk. Any other chunk is ignored; the answer tells the leader the wanted offset. */
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
