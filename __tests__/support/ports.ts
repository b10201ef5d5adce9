/** Free loopback ports for processes that must be told their port before they start. */
import { createServer } from 'node:net';
import { once } from 'node:events';

const handedOut = new Set<number>();

/** A loopback port that was free just now and that no other call of this process was given. */
export async function reservePort(): Promise<number> {
  for (;;) {
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const address = server.address();
    const port = typeof address === 'object' && address !== null ? address.port : 0;
    server.close();
    await once(server, 'close');
    if (!handedOut.has(port)) {
      handedOut.add(port);
      return port;
    }
  }
}
