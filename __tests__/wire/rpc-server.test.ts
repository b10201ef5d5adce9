import { once } from 'node:events';
import { connect } from 'node:http2';
import { setTimeout as pause } from 'node:timers/promises';

import { createClient } from '@connectrpc/connect';
import { createGrpcTransport } from '@connectrpc/connect-node';
import { afterEach, describe, expect, it } from 'vitest';

import { ConsensusService } from '../../src/generated/pistachiospoke/v1/control_pb.js';
import { LeaseService } from '../../src/generated/pistachiospoke/v1/lease_pb.js';
import { createRpcServer } from '../../src/wire/index.js';
import { reservePort, SwallowingRelay, waitFor } from '../support/index.js';

let relay: SwallowingRelay | undefined;

afterEach(async () => {
  await relay?.close();
  relay = undefined;
});

/** Longer than a closing server waits for streams. */
const longCall = 800;

describe('RPC server', () => {
  // Failure: a call that control forwards to its leader is cut while the change is being committed.
  it('answers a unary call that takes long while it closes', async () => {
    const address = `127.0.0.1:${await reservePort()}`;
    let isCalled = false;
    const server = createRpcServer({
      address,
      routes: (router) => {
        router.service(ConsensusService, {
          forward: async ({ command }) => {
            isCalled = true;
            await pause(longCall);
            return { answer: command };
          },
        });
      },
    });
    await server.open();
    const transport = createGrpcTransport({ baseUrl: `http://${address}` });
    const answer = createClient(ConsensusService, transport).forward({ command: 'change' });
    await waitFor('the call to arrive', () => isCalled);
    await Promise.all([server.close(), answer]);
    expect((await answer).answer).toBe('change');
  });

  // Failure: a process never exits after SIGTERM when a middlebox has lost track of a connection to it. A session that is closed
  // first and destroyed later only half-closes its socket, and the peer of a silent connection never completes the close.
  it('closes while a connection to it is silent', async () => {
    const address = `127.0.0.1:${await reservePort()}`;
    const routes = (router: Parameters<Parameters<typeof createRpcServer>[0]['routes']>[0]) => {
      router.service(LeaseService, {});
    };
    const server = createRpcServer({ address, routes });
    await server.open();
    relay = await SwallowingRelay.open(address);
    const session = connect(`http://${relay.address}`);
    // The relay resets the remaining connection at the end of the test.
    session.on('error', () => undefined);
    await once(session, 'remoteSettings');
    relay.swallowOpenConnections();
    await server.close();
    expect(relay.openConnections).toBe(1);
    session.destroy();
  });
});
