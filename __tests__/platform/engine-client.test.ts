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

async function readStatusType(listener?: RequestListener): Promise<string> {
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
 * Guards against reporting an engine whose connection was reset like one that has ended: the other members of its group were freed then,
 * although the engine might still run. Only a refused connection shows that nothing listens there.
 */
describe('reading the status of an engine', () => {
  it('is refused if nothing listens', async () => {
    expect(await readStatusType()).toBe('refused');
  });

  it('is unanswered if the connection is reset', async () => {
    expect(await readStatusType((request) => request.socket.destroy())).toBe('unanswered');
  });

  it('is unanswered if no response arrives', async () => {
    expect(await readStatusType(() => undefined)).toBe('unanswered');
  });
});
