import { createServer, type RequestListener, type Server } from 'node:http';

import { afterEach, describe, expect, it } from 'vitest';

import { createEngineClient } from '../../platform/engine-client.js';
import { beginUnframed, reservePort, waitFor, writeAndReset } from '../support/index.js';

let server: Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
  server = undefined;
});

async function listen(port: number, listener: RequestListener): Promise<void> {
  server = createServer(listener);
  const listening = server.listen(port, '127.0.0.1');
  await new Promise((resolve) => listening.once('listening', resolve));
}

async function readStatusType(listener?: RequestListener): Promise<string> {
  const port = await reservePort();
  if (listener !== undefined) {
    await listen(port, listener);
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

  it('is unanswered if the connection is reset within a report that has no length', async () => {
    const type = await readStatusType((_, response) => {
      beginUnframed(response, 'application/json');
      writeAndReset(response, '{"engine":');
    });
    expect(type).toBe('unanswered');
  });

  it('is unanswered if no response arrives', async () => {
    expect(await readStatusType(() => undefined)).toBe('unanswered');
  });
});

// Guards against asking an engine for its id again and again in the pause that it asked for when it rejected the question.
describe('reading the id of an engine that rejects the question and asks for a pause', () => {
  it('sends no question until the pause is over, or the engine has started again', async () => {
    const port = await reservePort();
    let questions = 0;
    const reject: RequestListener = (request, response) => {
      if (request.url === '/report') {
        response.end();
        return;
      }
      questions += 1;
      response.writeHead(503, { 'retry-after': '600' }).end();
    };
    await listen(port, reject);
    const client = createEngineClient(`127.0.0.1:${port}`);
    await client.readStatus();
    for (let count = 0; count < 5; count += 1) {
      expect(await client.readInstance()).toBeUndefined();
    }
    expect(questions).toBe(1);
    server?.closeAllConnections();
    await new Promise((resolve) => server?.close(resolve));
    await listen(port, (_, response) => {
      response.writeHead(200, { 'x-instance-id': 'i-2' }).end();
    });
    await waitFor('the id of the engine that started again', async () => {
      await client.readStatus();
      return (await client.readInstance()) === 'i-2';
    });
    await client.close();
  });
});
