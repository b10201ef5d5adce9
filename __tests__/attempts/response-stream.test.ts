import { describe, expect, it } from 'vitest';

import { ResponseStream } from '../../src/sidecar/attempts/response-stream.js';
import type { AttemptMessage } from '../../src/sidecar/attempts/messages.js';
import { decodeMessage } from '../../src/sidecar/attempts/wire.js';

const load = { running: 1, queued: 0, capacity: 4 };

function data(offset: number, text: string): AttemptMessage {
  return { type: 'data', offset, bytes: Buffer.from(text) };
}

async function readAll(stream: ResponseStream): Promise<readonly string[]> {
  const seen: string[] = [];
  for await (const response of stream) {
    const message = decodeMessage(response);
    const isData = message?.type === 'data';
    seen.push(
      isData ? `${message.offset}:${Buffer.from(message.bytes).toString()}` : String(message?.type),
    );
  }
  return seen;
}

describe('messages to one connection', () => {
  it('join queued adjacent data, but not across other messages or gaps', async () => {
    const stream = new ResponseStream();
    stream.push(data(0, 'ab'));
    stream.push(data(2, 'c'));
    stream.push({ type: 'keepAlive', load });
    stream.push(data(3, 'd'));
    stream.push(data(9, 'x'));
    stream.push(data(10, 'y'.repeat(8 * 1024)));
    stream.close();
    const seen = await readAll(stream);
    expect(seen.slice(0, 4)).toEqual(['0:abc', 'keepAlive', '3:d', '9:x']);
    expect(seen).toHaveLength(5);
  });

  it('are sent immediately to a connection with a pending read', async () => {
    const stream = new ResponseStream();
    const first = stream.next();
    stream.push(data(0, 'a'));
    expect((await first).done).toBe(false);
    expect(stream.length).toBe(0);
  });

  it('delay their source until the connection has read enough', async () => {
    const stream = new ResponseStream();
    stream.push({ type: 'keepAlive', load });
    stream.push({ type: 'keepAlive', load });
    let isReady = false;
    const ready = stream.waitUntilBelow(1, Infinity).then(() => (isReady = true));
    await Promise.resolve();
    expect(isReady).toBe(false);
    await stream.next();
    await ready;
    expect(isReady).toBe(true);
  });

  // Guards against a queue whose few messages hold so many bytes that a sidecar with many attempts runs out of memory.
  it('delay their source until the connection has read enough bytes', async () => {
    const stream = new ResponseStream();
    const size = 64 * 1024;
    stream.push(data(0, 'x'.repeat(size)));
    stream.push(data(size, 'y'.repeat(size)));
    stream.push(data(2 * size, 'z'));
    expect(stream.isAbove(256, size)).toBe(true);
    let isReady = false;
    const ready = stream.waitUntilBelow(256, size).then(() => (isReady = true));
    await Promise.resolve();
    expect(isReady).toBe(false);
    await stream.next();
    await stream.next();
    await ready;
    expect(stream.isAbove(256, 0)).toBe(true);
    await stream.next();
    expect(stream.isAbove(0, 0)).toBe(false);
  });
});
