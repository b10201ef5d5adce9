/** Bytes that a faulty or misbehaving peer sends as fast as the other side reads them, until that closes the connection. */
import type { Duplex } from 'node:stream';

const writtenAtOnce = 64 * 1024;

export class Flood {
  readonly #stream: Duplex;
  readonly #bytes: Buffer;
  #writesLeft: number;

  /** Sends the beginning, and then the repeated bytes: about so many times, or without end. */
  constructor(
    stream: Duplex,
    beginning: string,
    repeated: string,
    count = Number.POSITIVE_INFINITY,
  ) {
    this.#stream = stream;
    const repeatedAtOnce = Math.max(1, Math.floor(writtenAtOnce / repeated.length));
    this.#bytes = Buffer.from(repeated.repeat(repeatedAtOnce), 'latin1');
    this.#writesLeft = Math.ceil(count / repeatedAtOnce);
    stream.on('error', () => undefined);
    stream.on('drain', () => {
      this.#write();
    });
    stream.write(beginning, 'latin1');
    this.#write();
  }

  get isClosed(): boolean {
    return this.#stream.destroyed;
  }

  #write(): void {
    // The other connections of this process get their turns between two writes.
    setImmediate(() => {
      if (this.#writesLeft === 0 || this.#stream.destroyed) {
        return;
      }
      this.#writesLeft -= 1;
      if (this.#stream.write(this.#bytes)) {
        this.#write();
      }
    });
  }
}
