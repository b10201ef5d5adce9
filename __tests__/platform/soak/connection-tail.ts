import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Finds what an HTTP client does not show of a caller's connection: bytes that belong to no response, and some resets. */

/** Enough to recognize the end of a body. */
const keptLength = 256;

export class ConnectionTail {
  /** The last bytes that arrived, in Latin-1. */
  #tail = '';
  #isResponseExpected = false;
  #bytesBetween = 0;
  #isReset = false;

  constructor(socket: Socket) {
    socket.on('data', (bytes: Buffer) => {
      this.#tail = `${this.#tail}${bytes.toString('latin1')}`.slice(-keptLength);
      this.#bytesBetween += this.#isResponseExpected ? 0 : bytes.length;
    });
    // Node reports a reset as the end if both are read together with the last bytes; only then there is no peer any more.
    socket.prependListener('end', () => {
      this.#isReset = socket.remoteAddress === undefined;
    });
  }

  /** Whether what looks like the end of the connection is a reset by the other side. */
  get isReset(): boolean {
    return this.#isReset;
  }

  /** A request is being sent. Returns what arrived since the response before it. */
  begin(): readonly string[] {
    const count = this.#bytesBetween;
    this.#bytesBetween = 0;
    this.#isResponseExpected = true;
    return count === 0 ? [] : [`${count} bytes between two responses`];
  }

  /** A response is complete. Returns what arrived after its end. `body`: in Latin-1. */
  end({ headers }: IncomingMessage, body: string): readonly string[] {
    this.#isResponseExpected = false;
    const isChunked = headers['transfer-encoding'] !== undefined;
    const expected = isChunked ? '\r\n0\r\n\r\n' : body.slice(-keptLength);
    return this.#tail.endsWith(expected) ? [] : [`bytes after the end: ${this.#tail}`];
  }
}
