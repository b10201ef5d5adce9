import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { LeaderClient } from '../../src/control/routing/index.js';
import { RoutingService } from '../../src/generated/pistachiospoke/v1/routing_pb.js';
import { createRpcServer, RpcClientPool } from '../../src/wire/index.js';
import { reservePort } from '../support/index.js';
import { createForwardedCalls } from './forwarded-calls.js';

let clients: RpcClientPool;
let server: ReturnType<typeof createRpcServer> | undefined;

beforeEach(() => {
  clients = new RpcClientPool();
});

afterEach(async () => {
  clients.close();
  await server?.close();
  server = undefined;
});

async function openLeader(service: Parameters<typeof describeLeader>[0]): Promise<LeaderClient> {
  const address = `127.0.0.1:${await reservePort()}`;
  server = createRpcServer({ address, routes: describeLeader(service) });
  await server.open();
  return new LeaderClient({
    clients,
    findAddress: () => address,
    forwarded: createForwardedCalls(),
  });
}

function describeLeader(service: { readonly confirmIndex?: () => { readonly index: bigint } }) {
  return (router: Parameters<Parameters<typeof createRpcServer>[0]['routes']>[0]): void => {
    router.service(RoutingService, service);
  };
}

describe('the index that a leader confirms', () => {
  it('is that of the leader', async () => {
    const client = await openLeader({ confirmIndex: () => ({ index: 12n }) });
    expect((await client.confirmIndex('leader')).unwrap()).toBe(12);
  });

  // Guards against gateways that cannot start in an upgrade until the leader has the new version.
  it('is not waited for if the leader has an earlier version', async () => {
    const client = await openLeader({});
    expect((await client.confirmIndex('leader')).unwrap()).toBe(0);
  });

  it('is unknown without a leader, or if it does not answer', async () => {
    const client = new LeaderClient({
      clients,
      findAddress: () => '127.0.0.1:1',
      forwarded: createForwardedCalls(),
    });
    expect((await client.confirmIndex(undefined)).val).toMatchObject({ code: 'notFresh' });
    expect((await client.confirmIndex('leader')).val).toMatchObject({ code: 'notFresh' });
  });
});
