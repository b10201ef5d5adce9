import { describe, expect, it } from 'vitest';

import { ControlService } from '../../src/generated/pistachiospoke/v1/control_pb.js';
import { createRpcServer, MessageQueue, RpcClientPool } from '../../src/wire/index.js';
import { WatchResponseSchema } from '../../src/generated/pistachiospoke/v1/control_pb.js';
import { create } from '@bufbuild/protobuf';
import { reservePort, SwallowingRelay } from '../support/index.js';

/** Opens a server whose watches send one message and then nothing. */
async function openQuietServer(address: string) {
  const server = createRpcServer({
    address,
    routes: (router) => {
      router.service(ControlService, {
        watch: () => {
          const queue = new MessageQueue<typeof hello>();
          queue.push(hello);
          return queue;
        },
      });
    },
  });
  await server.open();
  return server;
}

const hello = create(WatchResponseSchema, { event: { case: 'synchronized', value: {} } });

describe('connections to other processes', () => {
  // Failure: the process crashes with an uncaught 'PING timed out'. A middlebox loses track of a connection, its ping fails, the call
  // on it ends, and the caller retires the connection. The session was already destroyed but had not emitted its error yet when
  // aborting its manager removed the listener for that error.
  it('survive being retired right after a failed ping', async () => {
    const address = `127.0.0.1:${await reservePort()}`;
    const server = await openQuietServer(address);
    const relay = await SwallowingRelay.open(address);
    const clients = new RpcClientPool();
    const watch = async () => {
      for await (const response of clients.client(ControlService, relay.address).watch({})) {
        expect(response.event.case).toBe('synchronized');
        relay.swallowOpenConnections();
      }
    };
    await expect(watch()).rejects.toThrow('PING timed out');
    clients.retire(relay.address);
    // An uncaught error would be raised within the next turns of the event loop and fail the run.
    await new Promise((resolve) => setTimeout(resolve, 50));
    clients.close();
    await relay.close();
    await server.close();
  });
});
