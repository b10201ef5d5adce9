import { setTimeout } from 'node:timers/promises';

import { Client } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';

import { createUpstreamConnector } from '../../src/wire/index.js';
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
