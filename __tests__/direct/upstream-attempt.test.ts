import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import { UpstreamAttempt, UpstreamConnections } from '../../src/gateway/direct/index.js';
import { waitFor } from '../support/index.js';

/** Larger than the socket buffers to an upstream that reads nothing. */
const bodyBytes = 512 * 1024;

/** An upstream that accepts connections and reads nothing, like one whose host is frozen. */
class FrozenUpstream {
  readonly #server: Server;
  readonly #sockets: Socket[] = [];

  constructor() {
    this.#server = createServer({ pauseOnConnect: true }, (socket) => {
      this.#sockets.push(socket);
    });
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  get connectionCount(): number {
    return this.#sockets.length;
  }

  async open(): Promise<void> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
  }

  /** Reads the only connection to its end; returns the number of bytes received. */
  async resume(): Promise<number> {
    const [socket] = this.#sockets;
    if (socket === undefined) {
      throw new Error('nobody connected');
    }
    let bytes = 0;
    socket.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
    });
    // Whether the end appears as a reset depends on what was read before it; the byte count shows whether the request is complete.
    socket.on('error', () => undefined);
    socket.resume();
    await once(socket, 'close');
    return bytes;
  }

  async close(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
    await once(this.#server, 'close');
  }
}

let upstream: FrozenUpstream | undefined;
let connections: UpstreamConnections | undefined;

afterEach(async () => {
  connections?.close();
  await upstream?.close();
});

describe('an aborted attempt', () => {
  // Guards against an engine that runs requests whose callers left seconds before. The host of an engine is frozen; a request is sent to
  // it; its caller leaves, and the gateway closes the connection; the host resumes. An orderly close is delivered after the bytes sent
  // before it, so the engine would read the complete request first.
  it('does not reach an upstream that reads only later', async () => {
    upstream = new FrozenUpstream();
    connections = new UpstreamConnections();
    await upstream.open();
    const { address } = upstream;
    const attempt = new UpstreamAttempt(
      connections.find(address, 1),
      { method: 'POST', path: '/', headers: [], body: Buffer.alloc(bodyBytes, 'a') },
      {
        onStart: () => undefined,
        onHead: () => undefined,
        onData: () => undefined,
        onEnd: () => undefined,
        onError: () => undefined,
      },
    );
    await waitFor('the connection', () => upstream?.connectionCount === 1);
    await waitFor('the request', () => attempt.isSent);
    attempt.cancel();
    expect(await upstream.resume()).toBeLessThan(bodyBytes);
  });
});
