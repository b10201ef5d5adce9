import { describe, expect, it } from 'vitest';

import { MessageOutlet } from '../../src/sidecar/attempts/message-outlet.js';
import type { AttemptMessage } from '../../src/sidecar/attempts/messages.js';
import { decodeMessage } from '../../src/sidecar/attempts/wire.js';

const load = { running: 1, queued: 0, capacity: 4 };

function data(offset: number, text: string): AttemptMessage {
  return { type: 'data', offset, bytes: Buffer.from(text) };
}

async function readAll(outlet: MessageOutlet): Promise<readonly string[]> {
  const seen: string[] = [];
  for await (const response of outlet) {
    const message = decodeMessage(response);
    const isData = message?.type === 'data';
    seen.push(
      isData ? `${message.offset}:${Buffer.from(message.bytes).toString()}` : String(message?.type),
    );
  }
  return seen;
}

describe('messages to one connection', () => {
  it('join adjacent data that wait, across nothing else and no gap', async () => {
    const outlet = new MessageOutlet();
    outlet.push(data(0, 'ab'));
    outlet.push(data(2, 'c'));
    outlet.push({ type: 'keepAlive', load });
    outlet.push(data(3, 'd'));
    outlet.push(data(9, 'x'));
    outlet.push(data(10, 'y'.repeat(8 * 1024)));
    outlet.close();
    const seen = await readAll(outlet);
    expect(seen.slice(0, 4)).toEqual(['0:abc', 'keepAlive', '3:d', '9:x']);
    expect(seen).toHaveLength(5);
  });

  it('leave at once for a connection that waits for them', async () => {
    const outlet = new MessageOutlet();
    const first = outlet.next();
    outlet.push(data(0, 'a'));
    expect((await first).done).toBe(false);
    expect(outlet.length).toBe(0);
  });

  it('hold their source back until the connection has taken enough', async () => {
    const outlet = new MessageOutlet();
    outlet.push({ type: 'keepAlive', load });
    outlet.push({ type: 'keepAlive', load });
    let isReady = false;
    const ready = outlet.waitUntilBelow(1).then(() => (isReady = true));
    await Promise.resolve();
    expect(isReady).toBe(false);
    await outlet.next();
    await ready;
    expect(isReady).toBe(true);
  });
});
