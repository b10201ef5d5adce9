/** Responses of faulty upstreams that go on until the client closes the connection. */
import type { Socket } from 'node:net';

/** Together some 3 MB a second. */
const sendInterval = 10;
const sentAtOnce = 32 * 1024;

export class EndlessResponse {
  readonly #socket: Socket;

  /** Sends the beginning, and then the repeated bytes without end. */
  constructor(socket: Socket, beginning: string, repeated: string) {
    this.#socket = socket;
    const bytes = repeated.repeat(Math.ceil(sentAtOnce / repeated.length));
    socket.write(beginning);
    const timer = setInterval(() => {
      if (socket.destroyed) {
        clearInterval(timer);
      } else {
        socket.write(bytes);
      }
    }, sendInterval);
  }

  get isClosed(): boolean {
    return this.#socket.destroyed;
  }
}
