import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** An HTTP upstream for tests that records the requests it receives; the test sets their handler. Its responses have a receipt and name their request. */
export class TestUpstream {
  readonly received: { readonly url: string; readonly headers: IncomingMessage['headers'] }[] = [];
  handle: (request: IncomingMessage, response: ServerResponse) => void = () => undefined;
  readonly #server: Server;

  constructor() {
    this.#server = createServer((request, response) => {
      this.received.push({ url: request.url ?? '', headers: request.headers });
      request.resume();
      response.setHeader('x-response-seal', 'seal');
      response.setHeader('x-attempt-id', request.headers['x-attempt-id'] ?? '');
      this.handle(request, response);
    });
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  open(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
      this.#server.closeAllConnections();
    });
  }
}
