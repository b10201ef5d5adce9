/** An HTTP upstream on bare sockets, which can end its responses in any way that TCP allows. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** How the upstream ends a connection: with an orderly close, or with a reset. */
export type ConnectionEnd = 'close' | 'reset';

export class RawUpstream {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Called with the socket once the head of a request has arrived. */
  readonly #answer: (socket: Socket) => void;

  constructor(answer: (socket: Socket) => void) {
    this.#answer = answer;
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.#sockets.delete(socket));
      this.#readHead(socket);
    });
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  async open(): Promise<void> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
  }

  /** Ends all open connections. */
  endConnections(how: ConnectionEnd): void {
    for (const socket of this.#sockets) {
      if (how === 'reset') {
        socket.resetAndDestroy();
      } else {
        socket.end();
      }
    }
  }

  async close(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
    await once(this.#server, 'close');
  }

  #readHead(socket: Socket): void {
    let received = '';
    const read = (bytes: Buffer): void => {
      received += bytes.toString('latin1');
      if (received.includes('\r\n\r\n')) {
        socket.off('data', read);
        socket.resume();
        this.#answer(socket);
      }
    };
    socket.on('data', read);
  }
}
