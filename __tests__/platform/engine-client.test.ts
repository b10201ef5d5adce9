import { createServer, type RequestListener, type Server } from 'node:http';

import { afterEach, describe, expect, it } from 'vitest';

import { createEngineClient } from '../../platform/engine-client.js';
import { reservePort } from '../support/index.js';

let server: Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
  server = undefined;
});

async function ask(listener?: RequestListener): Promise<string> {
  const port = await reservePort();
  if (listener !== undefined) {
    server = createServer(listener);
    const listening = server.listen(port, '127.0.0.1');
    await new Promise((resolve) => listening.once('listening', resolve));
  }
  const client = createEngineClient(`127.0.0.1:${port}`);
  const { type } = await client.readStatus();
  await client.close();
  return type;
}

/**
 * An engine whose connection was reset was reported in the same words as one that had ended, and the members of its group were freed beside
 * it. Only a refused connection says that nothing listens there.
 */
describe('a question to an engine', () => {
  it('is refused where nothing listens', async () => {
    expect(await ask()).toBe('refused');
  });

  it('is unanswered where the connection breaks', async () => {
    expect(await ask((request) => request.socket.destroy())).toBe('unanswered');
  });

  it('is unanswered where no answer comes', async () => {
    expect(await ask(() => undefined)).toBe('unanswered');
  });
});
