/** Responses of faulty upstreams that go on as fast as the other side reads them, until it closes the connection. */
import type { Socket } from 'node:net';

const writtenAtOnce = 64 * 1024;

export class Flood {
  readonly #socket: Socket;
  readonly #bytes: Buffer;

  /** Sends the beginning, and then the repeated bytes without end. */
  constructor(socket: Socket, beginning: string, repeated: string) {
    this.#socket = socket;
    const count = Math.ceil(writtenAtOnce / repeated.length);
    this.#bytes = Buffer.from(repeated.repeat(count), 'latin1');
    socket.on('error', () => undefined);
    socket.on('drain', () => {
      this.#write();
    });
    socket.write(beginning, 'latin1');
    this.#write();
  }

  get isClosed(): boolean {
    return this.#socket.destroyed;
  }

  #write(): void {
    // The other connections of this process get their turns between two writes.
    setImmediate(() => {
      if (!this.#socket.destroyed && this.#socket.write(this.#bytes)) {
        this.#write();
      }
    });
  }
}
