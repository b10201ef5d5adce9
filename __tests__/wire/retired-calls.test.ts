import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, describe, expect, it } from 'vitest';

import { GatewayService } from '../../src/generated/pistachiospoke/v1/control_pb.js';
import { createRpcServer, RpcClientPool } from '../../src/wire/index.js';
import { reservePort, SwallowingRelay } from '../support/index.js';

/** Longer than the idle time after which the pool pings a connection before using it again. */
const idleMilliseconds = 2100;

const cleanups: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of cleanups.splice(0).reverse()) {
    await close();
  }
});

describe('a call on a connection that is retired', () => {
  // Failure: a gateway receives no further changes and does not exit on SIGTERM. Its idle connection to a control host went silent,
  // a call on it waits for the reply to a ping, and another call retires the connection. The session manager's ping neither
  // succeeds nor fails once its socket is destroyed.
  it('fails even while the connection is being verified', async () => {
    const address = `127.0.0.1:${await reservePort()}`;
    const server = createRpcServer({
      address,
      routes: (router) => {
        router.service(GatewayService, { counters: () => ({}) });
      },
    });
    await server.open();
    cleanups.push(() => server.close());
    const relay = await SwallowingRelay.open(address);
    cleanups.push(() => relay.close());
    const pool = new RpcClientPool();
    cleanups.push(() => {
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
