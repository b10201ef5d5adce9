import { once } from 'node:events';
import { createServer } from 'node:http2';
import type { AddressInfo } from 'node:net';

import { describe, expect, it } from 'vitest';

import { ControlService } from '../../src/generated/pistachiospoke/v1/control_pb.js';
import { createRpcServer, MessageQueue, RpcClientPool } from '../../src/wire/index.js';
import {
  GetResponseSchema,
  WatchResponseSchema,
} from '../../src/generated/pistachiospoke/v1/control_pb.js';
import { create, toBinary } from '@bufbuild/protobuf';
import { reservePort, SwallowingRelay } from '../support/index.js';

/** A whole field of a response, so that what has arrived can be decoded. */
const resultCodeField = toBinary(GetResponseSchema, create(GetResponseSchema, { resultCode: 1 }));

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

  // Guards against taking the end of a connection for the end of a response, which names no length here.
  it('fail the calls whose responses they interrupt', async () => {
    const server = createServer();
    server.on('stream', (stream) => {
      stream.on('error', () => undefined);
      stream.respond({ ':status': 200, 'content-type': 'application/proto' });
      stream.write(resultCodeField);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const relay = await SwallowingRelay.open(`127.0.0.1:${port}`);
    const clients = new RpcClientPool();
    const call = clients.client(ControlService, relay.address).get({});
    const outcome = expect(call).rejects.toThrow();
    await once(server, 'stream');
    await new Promise((resolve) => setTimeout(resolve, 50));
    relay.setMode('refuse');
    await outcome;
    clients.close();
    await relay.close();
    server.close();
  });
});
