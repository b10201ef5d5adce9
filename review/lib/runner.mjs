/**
 * A runner of a plain service, which speaks HTTP/1.1 on bare sockets, so that it can end an answer in any way. It runs every request that
 * names it and answers it with what `answer` writes.
 */
import net from 'node:net';

export class Runner {
  /** Ids of the attempts that it ran. */
  runs = [];
  #server;
  #answer;

  constructor(id, address, answer) {
    this.id = id;
    this.address = address;
    this.#answer = answer;
  }

  open() {
    const [host, port] = this.address.split(':');
    this.#server = net.createServer((socket) => this.#serve(socket));
    return new Promise((resolve) => this.#server.listen(Number(port), host, resolve));
  }

  close() {
    this.#server?.close();
  }

  #serve(socket) {
    let received = '';
    const connection = { socket, requests: 0 };
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      for (;;) {
        const end = received.indexOf('\r\n\r\n');
        const head = received.slice(0, end);
        const length = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0);
        if (end < 0 || received.length < end + 4 + length) {
          return;
        }
        received = received.slice(end + 4 + length);
        this.#handle(connection, head);
      }
    });
  }

  #handle(connection, head) {
    const { socket } = connection;
    const [, path = ''] = head.split(' ');
    const read = (name) => new RegExp(`\\r\\n${name}: *([^\\r]*)`, 'i').exec(head)?.[1];
    const id = read('x-attempt-id') ?? '';
    const expected = read('x-expect-instance');
    if (path === '/healthz') {
      socket.write(`HTTP/1.1 200 OK\r\nX-Instance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
      return;
    }
    if (expected !== undefined && expected !== this.id) {
      socket.write(
        `HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: ${id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    connection.requests += 1;
    this.runs.push(id);
    const seal = `seal.${this.id}.${id}`;
    this.#answer({
      connection,
      socket,
      path,
      id,
      seal,
      count: this.runs.length,
      fields: `X-Attempt-Id: ${id}\r\nX-Response-Seal: ${seal}\r\n`,
    });
  }
}
