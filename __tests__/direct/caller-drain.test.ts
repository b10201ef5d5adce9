import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { Worker } from 'node:worker_threads';

import { pino } from 'pino';
import { describe, expect, it } from 'vitest';

import { closeServer, systemClock } from '../../src/common/index.js';
import { CallerServer } from '../../src/gateway/caller-server.js';
import { ActiveDeliveries } from '../../src/gateway/direct/active-deliveries.js';
import { CallerDrain } from '../../src/gateway/direct/caller-drain.js';
import { formatHead } from '../support/index.js';

/** Times in milliseconds. The port closes after half of the grace period. */
const grace = 600;
const sendAfter = grace / 4;
const busyTime = grace / 2 + 100;

/** A caller in a thread of its own, which goes on while the event loop of the test is busy. Posts what it has received. */
const caller = `
  const { workerData: { port, head, sendAfter }, parentPort } = require('node:worker_threads');
  const socket = require('node:net').connect(port, '127.0.0.1', () => {
    setTimeout(() => socket.write(head), sendAfter);
  });
  let received = '';
  socket.on('data', (bytes) => { received += bytes; });
  socket.on('error', () => undefined);
  socket.on('close', () => parentPort.postMessage(received));
`;

function blockEventLoop(duration: number): void {
  const end = performance.now() + duration;
  while (performance.now() < end);
}

describe('a gateway that finishes the requests of callers', () => {
  // Guards against requests that are lost because they arrived while the event loop was busy when the port closed.
  it('answers a request that arrived while its event loop was busy', async () => {
    const server = new CallerServer(systemClock, ({ response }) => {
      response.setHeader('connection', server.endsConnection(response) ? 'close' : 'keep-alive');
      response.end('answer');
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const head = formatHead({ method: 'GET', path: '/', headers: { host: 'desk.example' } });
    const accepted = once(server, 'connection');
    const worker = new Worker(caller, { eval: true, workerData: { port, head, sendAfter } });
    const received = once(worker, 'message');
    await accepted;
    const drain = new CallerDrain({
      server,
      deliveries: new ActiveDeliveries({ waiting: undefined, clock: systemClock }),
      grace,
      identify: () => undefined,
      clock: systemClock,
      logger: pino({ level: 'silent' }),
    });
    const drained = drain.run();
    blockEventLoop(busyTime);
    expect((await received)[0]).toContain('answer');
    await drained;
    await closeServer(server);
  });
});
