import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { RawUpstream, type ConnectionEnd } from '../support/index.js';
import { openGatewayClient, openSidecarClient, type UpstreamClient } from './upstream-clients.js';

const body = 'the whole body';
const sound = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

const heads = {
  'a length': `HTTP/1.1 200 OK\r\nX-Response-Seal: 1\r\nContent-Length: ${body.length}\r\n\r\n`,
  'a length first': `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\nX-Response-Seal: 1\r\n\r\n`,
  'a length and Connection: close': `HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n`,
  chunks: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
  'chunks and Connection: close':
    'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n',
  'no length': 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n',
  'HTTP/1.0': 'HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n',
  'an interim response before it':
    'HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\n',
} as const;

let answers: string[];
let ending: ConnectionEnd;
let upstream: RawUpstream;

beforeEach(async () => {
  answers = [];
  upstream = new RawUpstream((socket) => {
    const answer = answers.shift() ?? sound;
    socket.write(answer);
    if (answer !== sound) {
      upstream.endConnections(ending);
    }
  });
  await upstream.open();
});

afterEach(async () => {
  await upstream.close();
});

/** Lets a response end within its head, at each of its bytes; returns the parts of the head that were taken for a response. */
async function findTakenParts(client: UpstreamClient, head: string): Promise<readonly string[]> {
  const taken: string[] = [];
  for (let length = 0; length < head.length; length += 1) {
    const part = head.slice(0, length);
    const received = { hasHead: false, body: '' };
    answers.push(part);
    const result = await client.send(received);
    if (result === 'whole' || received.hasHead) {
      taken.push(part);
    }
  }
  return taken;
}

// Guards against passing on a response whose head is not complete, as a success with an empty or a short body.
describe.each([
  ['gateway', openGatewayClient],
  ['sidecar', openSidecarClient],
])('a response that ends within its head, to a request from a %s', (_, open) => {
  describe.each(['close', 'reset'] as const)('by a %s', (how) => {
    it.each(Object.entries(heads))('is none: %s', async (__, head) => {
      ending = how;
      const client = open(() => upstream.address);
      expect(await findTakenParts(client, head)).toEqual([]);
      await client.close();
    });
  });
});
