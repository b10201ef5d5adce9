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
const busyTime = grace / 2 + 100;
/** Ends a hung test. */
const hangTimeout = 60_000;

/** States of a request that both threads know. */
const waiting = 0;
const allowed = 1;
const sent = 2;

/** A caller in a thread of its own, which sends its request once that is allowed. Posts what it has received. */
const caller = `
  const { workerData: { port, head, state }, parentPort } = require('node:worker_threads');
  const socket = require('node:net').connect(port, '127.0.0.1', () => {
    Atomics.wait(state, 0, ${waiting});
    socket.write(head, () => {
      Atomics.store(state, 0, ${sent});
      Atomics.notify(state, 0);
    });
  });
  let received = '';
  socket.on('data', (bytes) => { received += bytes; });
  socket.on('error', () => undefined);
  socket.on('close', () => parentPort.postMessage(received));
`;

/** Holds the event loop until the request has arrived, however late its thread gets processor time, and at least for the duration. */
function blockEventLoop(duration: number, state: Int32Array): void {
  const end = performance.now() + duration;
  Atomics.store(state, 0, allowed);
  Atomics.notify(state, 0);
  Atomics.wait(state, 0, allowed, hangTimeout);
  while (performance.now() < end);
}

describe('a gateway that finishes the requests of callers', () => {
  // Guards against requests that are lost because they arrived while the event loop was busy when the port closed.
  it('answers a request that arrived while its event loop was busy', async () => {
    const server = new CallerServer(systemClock, 10, ({ response }) => {
      response.setHeader('connection', server.endsConnection(response) ? 'close' : 'keep-alive');
      response.end('answer');
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const head = formatHead({ method: 'GET', path: '/', headers: { host: 'desk.example' } });
    const accepted = once(server, 'connection');
    const state = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const worker = new Worker(caller, { eval: true, workerData: { port, head, state } });
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
    blockEventLoop(busyTime, state);
    expect((await received)[0]).toContain('answer');
    await drained;
    await closeServer(server);
  });
});
