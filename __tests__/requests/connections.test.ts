import { createServer, type Http2Server, type ServerHttp2Stream } from 'node:http2';
import type { AddressInfo } from 'node:net';

import { connectNodeAdapter } from '@connectrpc/connect-node';
import { afterEach, describe, expect, it } from 'vitest';

import { waitFor } from '../support/index.js';
import { AttemptConnections } from '../../src/gateway/shell/attempt-connections.js';
import { AttemptService } from '../../src/generated/pistachiospoke/v1/attempt_pb.js';
import { ResponseStream } from '../../src/sidecar/attempts/response-stream.js';
import { encodeRun } from '../../src/sidecar/attempts/wire.js';

/** A sidecar whose messages are sent by the test. */
class ManualSidecar {
  readonly streams: ResponseStream[] = [];
  readonly resets: number[] = [];
  readonly #server: Http2Server;
  #closedSessions = 0;

  constructor() {
    this.#server = createServer(
      connectNodeAdapter({
        routes: (router) => {
          router.service(AttemptService, { run: () => this.#open() });
        },
      }),
    );
    this.#server.on('session', (session) => {
      session.on('close', () => (this.#closedSessions += 1));
    });
    this.#server.on('stream', (stream: ServerHttp2Stream) => {
      stream.on('close', () => this.resets.push(stream.rstCode));
    });
  }

  get closedSessions(): number {
    return this.#closedSessions;
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.streams.forEach((stream) => {
      stream.abort();
    });
    this.#server.close();
  }

  #open(): ResponseStream {
    const stream = new ResponseStream();
    stream.push({ type: 'accepted', load: { running: 1, queued: 0, capacity: 4 } });
    this.streams.push(stream);
    return stream;
  }
}

const order = {
  name: { requestId: '1-a', attempt: 1, incarnation: 'i' },
  group: 'assist/1',
  fencingNumber: 1,
  configurationRevision: 1,
  remaining: 1000,
  account: 'desk',
  accountWeight: 1,
  priority: 5,
  isNonIdempotent: false,
};
const upstream = { method: 'GET', path: '/', headers: [], body: new Uint8Array(), affinityKey: '' };
const ended = { type: 'ended', totalBytes: 0, code: 'ok', retryAfter: 0 } as const;

const sidecar = new ManualSidecar();
const connections = new AttemptConnections();

afterEach(() => {
  connections.close();
  sidecar.close();
});

describe('the connection of a gateway to a sidecar', () => {
  // A sidecar pauses for a second and one attempt on its connection counts as silent. Retiring the connection closed
  // it, so the states of all its attempts were queried and all were retried at once until the retry budget was spent,
  // and callers got 503 under load although nothing was broken.
  // Second fault: each stream was aborted after its last message although it ends by itself then. The errors and resets
  // took half of the gateway's processor time.
  it('continues its other attempts after it was retired, and resets no stream that has ended', async () => {
    const address = await sidecar.listen();
    const received: string[] = [];
    const listen = (name: string): Parameters<AttemptConnections['run']>[2] => ({
      message: ({ type }) => received.push(`${name} ${type}`),
      closed: () => received.push(`${name} closed`),
      ready: () => undefined,
    });
    const first = connections.run(address, encodeRun(order, upstream), listen('first'));
    await waitFor('the first stream', () => received.includes('first accepted'));
    const second = connections.run(address, encodeRun(order, upstream), listen('second'));
    await waitFor('the second stream', () => received.includes('second accepted'));

    sidecar.streams[0]?.push(ended);
    await waitFor('the end of the first stream', () => received.includes('first ended'));
    first.drop();
    sidecar.streams[0]?.close();
    await waitFor('the close of the first stream', () => sidecar.resets.length === 1);
    expect(sidecar.resets).toEqual([0]);

    first.retireConnection();
    connections.run(address, encodeRun(order, upstream), listen('third'));
    await waitFor('a stream on a new connection', () => received.includes('third accepted'));
    expect(sidecar.closedSessions).toBe(0);
    sidecar.streams[1]?.push(ended);
    await waitFor('the end of the second stream', () => received.includes('second ended'));
    second.drop();
    await waitFor('the retired connection to close', () => sidecar.closedSessions === 1);
    expect(received).not.toContain('first closed');
    expect(received).not.toContain('third closed');
  });
});
