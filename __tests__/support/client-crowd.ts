/** Many connections of clients that nobody controls: they send what they like, and read whatever comes back. */
import { connect, type Socket } from 'node:net';

const writtenAtOnce = 64 * 1024;

/** Bytes that one client sends. */
export interface ClientBytes {
  /** Sent once. */
  readonly beginning: string | Buffer;
  /** Sent after that: so many times, or without end. */
  readonly repeated?: { readonly text: string; readonly count: number };
  /** Whether the client takes nothing of what it is sent. */
  readonly isDeaf?: boolean;
}

export class ClientCrowd {
  readonly #sockets: readonly Socket[];
  #connected = 0;
  #closed = 0;

  constructor(address: string, size: number, bytes: ClientBytes) {
    const [host = '', port] = address.split(':');
    this.#sockets = Array.from({ length: size }, () => {
      const socket = connect(Number(port), host);
      socket.on('error', () => undefined);
      socket.on('connect', () => {
        this.#connected += 1;
      });
      socket.on('close', () => {
        this.#closed += 1;
      });
      if (bytes.isDeaf !== true) {
        socket.resume();
      }
      new Sender(socket, bytes).start();
      return socket;
    });
  }

  get connectedCount(): number {
    return this.#connected;
  }

  /** Connections that the other side has closed or refused. */
  get closedCount(): number {
    return this.#closed;
  }

  close(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }
}

/** Writes as fast as the other side reads. */
class Sender {
  readonly #socket: Socket;
  readonly #beginning: string | Buffer;
  readonly #block: Buffer;
  #blocksLeft: number;

  constructor(socket: Socket, { beginning, repeated }: ClientBytes) {
    this.#socket = socket;
    this.#beginning = beginning;
    const { text, count } = repeated ?? { text: '', count: 0 };
    const textsInBlock = Math.max(1, Math.floor(writtenAtOnce / Math.max(1, text.length)));
    this.#block = Buffer.from(text.repeat(Math.min(textsInBlock, count)), 'latin1');
    this.#blocksLeft = Math.ceil(count / textsInBlock);
  }

  start(): void {
    this.#socket.on('drain', () => {
      this.#write();
    });
    this.#socket.write(this.#beginning);
    this.#write();
  }

  #write(): void {
    // The other connections of this process get their turns between two writes.
    setImmediate(() => {
      if (this.#blocksLeft === 0 || this.#socket.destroyed) {
        return;
      }
      this.#blocksLeft -= 1;
      if (this.#socket.write(this.#block)) {
        this.#write();
      }
    });
  }
}
