/** A caller's connection on a bare socket, which the caller uses until the other side closes it. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';

export interface RequestHead {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

export class OpenConnection {
  /** Resolves when the connection has ended, in whatever way. */
  readonly closed: Promise<void>;
  readonly #socket: Socket;
  #chunks: Buffer[] = [];
  #isEnded = false;
  #isReset = false;

  private constructor(socket: Socket) {
    this.#socket = socket;
    this.closed = new Promise((resolve) => {
      socket.on('close', () => {
        this.#isEnded = true;
        resolve();
      });
    });
    socket.on('end', () => {
      this.#isEnded = true;
    });
    socket.on('error', () => {
      this.#isReset = true;
    });
    socket.on('data', (bytes: Buffer) => this.#chunks.push(bytes));
  }

  /** `address`: `ip:port`. */
  static async open(address: string): Promise<OpenConnection> {
    const [host = '', port] = address.split(':');
    const socket = connect(Number(port), host);
    const connection = new OpenConnection(socket);
    await once(socket, 'connect');
    return connection;
  }

  /** Whether the other side has ended the connection. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Whether the connection ended with a reset, so that what was received is not complete. */
  get isReset(): boolean {
    return this.#isReset;
  }

  /** Everything received so far. */
  get received(): string {
    const all = Buffer.concat(this.#chunks);
    this.#chunks = [all];
    return all.toString('latin1');
  }

  write(text: string): void {
    this.#socket.write(text);
  }

  pauseReading(): void {
    this.#socket.pause();
  }

  /** Stops reading after the next bytes, and resolves when these have arrived. */
  async pauseAtNextBytes(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#socket.once('data', () => {
        this.#socket.pause();
        resolve();
      });
    });
  }

  resumeReading(): void {
    this.#socket.resume();
  }

  close(): void {
    this.#socket.destroy();
  }
}

/** The bytes of a request's head, with the empty line that ends it. */
export function formatHead({ method, path, headers }: RequestHead): string {
  const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${fields.join('')}\r\n`;
}
