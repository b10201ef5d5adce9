import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { pino } from 'pino';
import { Client } from 'undici';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { systemClock } from '../../src/common/index.js';
import { ConnectionShedder } from '../../src/gateway/direct/index.js';

const busy = 150;
const idle = 5;

let server: Server;
let shedder: ConnectionShedder;
let shedCount: number;
const clients: Client[] = [];

beforeEach(async () => {
  shedCount = 0;
  server = createServer((_, response) => response.end('done'));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  shedder = new ConnectionShedder({
    server,
    onShed: () => {
      shedCount += 1;
    },
    clock: systemClock,
    logger: pino({ level: 'silent' }),
  });
});

afterEach(async () => {
  await Promise.all(clients.splice(0).map((client) => client.destroy()));
  await new Promise((resolve) => server.close(resolve));
});

function connect(): Client {
  const { port } = server.address() as AddressInfo;
  const client = new Client(`http://127.0.0.1:${port}`);
  clients.push(client);
  return client;
}

async function request(client: Client): Promise<string> {
  const { body } = await client.request({ method: 'GET', path: '/' });
  return body.text();
}

// Guards against a gateway that gets most new connections, has no processor time left for them, and makes all its requests late.
describe('a gateway whose event loop is busy', () => {
  it('closes new connections unread and serves those that are open, until it is idle again', async () => {
    const open = connect();
    expect(await request(open)).toBe('done');
    [busy, busy, busy].forEach((delay) => {
      shedder.noteDelay(delay);
    });
    await expect(request(connect())).rejects.toThrow();
    expect(await request(open)).toBe('done');
    expect(shedCount).toBe(1);
    shedder.noteDelay(idle);
    expect(await request(connect())).toBe('done');
  });

  it('accepts connections after a single delay, however long', async () => {
    const open = connect();
    expect(await request(open)).toBe('done');
    [busy, busy, idle, 10_000, idle, busy, busy].forEach((delay) => {
      shedder.noteDelay(delay);
    });
    expect(await request(connect())).toBe('done');
  });
});
