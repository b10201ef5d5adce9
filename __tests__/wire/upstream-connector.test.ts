import { once } from 'node:events';
import { setTimeout } from 'node:timers/promises';

import { Client } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';

import { createUpstreamConnector, UpstreamSocket } from '../../src/wire/index.js';
import { RawUpstream } from '../support/index.js';

let upstream: RawUpstream | undefined;
let client: Client | undefined;

afterEach(async () => {
  await client?.destroy();
  await upstream?.close();
});

// Guards against failing a request that was not sent, because the idle connection that it waited for was reset.
describe('a request that waits for an idle connection', () => {
  it('is sent on another one if that is reset', async () => {
    upstream = new RawUpstream((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    });
    await upstream.open();
    const connect = createUpstreamConnector({ timeout: 1000 });
    client = new Client(`http://${upstream.address}`, { connect });
    for (let count = 0; count < 5; count += 1) {
      const { body } = await client.request({ method: 'GET', path: '/' });
      expect(await body.text()).toBe('ok');
      await setTimeout(20);
      upstream.endConnections('reset');
    }
  });
});

const kilobyte = 1024;
/** Longer than the work on one read may be before the connection gives way, in milliseconds. */
const longWork = 2;

/** Bytes whose order shows, many more than one read returns. */
function createBytes(): Buffer {
  const bytes = Buffer.alloc(2 * 1024 * kilobyte);
  for (let at = 0; at < bytes.length; at += 4) {
    bytes.writeUInt32LE(at, at);
  }
  return bytes;
}

function work(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end) {
    // Takes the time of the event loop, as parsing does.
  }
}

/** Reads the response as undici does, until null; returns it and the bytes that were read in each turn of the event loop. */
async function readInTurns(
  address: string,
  workForRead: number,
): Promise<{ readonly received: Buffer; readonly turns: readonly number[] }> {
  const [host = '', port] = address.split(':');
  const socket = new UpstreamSocket();
  socket.connect(Number(port), host);
  await once(socket, 'connect');
  socket.write('GET / HTTP/1.1\r\n\r\n');
  const chunks: Buffer[] = [];
  const turns: number[] = [0];
  const countTurn = (): void => {
    turns.push(0);
    counter = setImmediate(countTurn);
  };
  let counter = setImmediate(countTurn);
  socket.on('readable', () => {
    for (let chunk = socket.read(); Buffer.isBuffer(chunk); chunk = socket.read()) {
      chunks.push(chunk);
      turns[turns.length - 1] = (turns.at(-1) ?? 0) + chunk.length;
      work(workForRead);
    }
  });
  await new Promise((resolve) => {
    socket.on('error', () => undefined).on('close', resolve);
    socket.on('end', () => socket.destroy());
  });
  clearImmediate(counter);
  return { received: Buffer.concat(chunks), turns };
}

// Guards against an upstream that sends at full speed and keeps the process from all its other connections.
describe('a connection with many bytes', () => {
  it.each([
    // A last read may begin just below the limit.
    ['64 KB', 'a turn', 0, 68 * kilobyte],
    // The end of the bytes that were buffered, and the beginning of the next ones.
    ['a part', 'a turn if the work on it takes long', longWork, 8 * kilobyte],
  ])('hands over %s in %s', async (_, __, workForRead, limit) => {
    const sent = createBytes();
    upstream = new RawUpstream((socket) => socket.end(sent));
    await upstream.open();
    const { received, turns } = await readInTurns(upstream.address, workForRead);
    expect(Math.max(...turns)).toBeLessThanOrEqual(limit);
    expect(received.equals(sent)).toBe(true);
  });

  it('hands over all bytes before a reset', async () => {
    const sent = createBytes().subarray(0, 60 * kilobyte);
    upstream = new RawUpstream((socket) => {
      socket.write(sent, () => socket.resetAndDestroy());
    });
    await upstream.open();
    const { received } = await readInTurns(upstream.address, longWork);
    expect(received.equals(sent)).toBe(true);
  });
});
