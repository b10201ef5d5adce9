import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, describe, expect, it } from 'vitest';

import { GatewayService } from '../../src/generated/pistachiospoke/v1/control_pb.js';
import { createRpcServer, RpcClientPool } from '../../src/wire/index.js';
import { reservePort, SwallowingRelay } from '../support/index.js';

/** The pool pings a connection that was idle for longer than this before it uses it again. */
const idleMilliseconds = 2100;

const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

describe('a call on a connection that is retired', () => {
  // Symptom: a gateway never hears of a change again, and does not end on SIGTERM. Sequence: its idle connection to a control host
  // went silent; a call on it waits for the answer to a ping; another call retires the connection. Cause: the session
  // manager's ping neither succeeds nor fails once its socket is gone.
  it('fails also while the connection is being verified', async () => {
    const address = `127.0.0.1:${await reservePort()}`;
    const server = createRpcServer({
      address,
      routes: (router) => {
        router.service(GatewayService, { counters: () => ({}) });
      },
    });
    await server.open();
    closers.push(() => server.close());
    const relay = await SwallowingRelay.open(address);
    closers.push(() => relay.close());
    const pool = new RpcClientPool();
    closers.push(() => {
      pool.close();
    });
    await pool.client(GatewayService, relay.address).counters({});
    await sleep(idleMilliseconds);
    relay.swallowOpenConnections();
    const waiting = pool.client(GatewayService, relay.address).counters({});
    const outcome = waiting.then(
      () => 'answered',
      () => 'failed',
    );
    await sleep(0);
    pool.retire(relay.address);
    expect(await outcome).toBe('failed');
  });
});
