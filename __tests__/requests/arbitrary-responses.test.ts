import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { createEngineClient } from '../../platform/engine-client.js';
import { createRandomSource, type RandomSource } from '../../src/common/index.js';
import { UpstreamAttempt, UpstreamConnections } from '../../src/gateway/direct/index.js';
import { ControlService } from '../../src/generated/pistachiospoke/v1/control_pb.js';
import { HttpUpstreamClient } from '../../src/sidecar/attempts/index.js';
import { createRpcServer, RpcClientPool } from '../../src/wire/index.js';
import { reservePort } from '../support/index.js';
import { drawResponse, type DrawnResponse } from './drawn-response.js';

const seeds = Array.from(
  { length: Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? 10) },
  (_, index) => index + 1,
);
/** Requests at the same time; a failed assertion in one must not reach the others. */
const requestCount = 60;
const closers: (() => unknown)[] = [];

let server: Server;
let random: RandomSource;
const sockets = new Set<Socket>();

/** Sends what was drawn, whatever the client sends, and ends the connection. */
async function play(socket: Socket, { parts, ending }: DrawnResponse): Promise<void> {
  for (const { bytes, delay } of parts) {
    await pause(delay);
    socket.write(bytes);
  }
  if (ending === 'reset') {
    socket.resetAndDestroy();
  } else {
    socket.end();
  }
}

beforeEach(async () => {
  server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.once('data', () => void play(socket, drawResponse(random)));
    socket.resume();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
});

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
  sockets.forEach((socket) => socket.destroy());
  server.close();
});

function addressOf({ port }: AddressInfo): string {
  return `127.0.0.1:${port}`;
}

/** Sends a request as a gateway does, with callers that are slow, leave, or need no more than the head. */
function sendFromGateway(connections: UpstreamConnections): Promise<number> {
  const address = addressOf(server.address() as AddressInfo);
  const leavesAfter = random.integerBelow(6);
  return new Promise((resolve) => {
    let conclusions = 0;
    let heads = 0;
    const conclude = (): void => {
      conclusions += 1;
      // Reports a second conclusion, too.
      setTimeout(() => {
        resolve(conclusions);
      }, 20);
    };
    const attempt: UpstreamAttempt = new UpstreamAttempt(
      connections.find(address, requestCount),
      { method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) },
      {
        onStart: () => undefined,
        onHead: () => {
          heads += 1;
          if (leavesAfter === 0) {
            attempt.discard();
            conclude();
          } else if (leavesAfter === 1 && heads === 1) {
            attempt.cancel();
            conclude();
          }
        },
        onData: () => {
          if (random.integerBelow(3) === 0) {
            attempt.pause();
            setTimeout(() => {
              attempt.resume();
            }, random.integerBelow(10));
          }
        },
        onEnd: conclude,
        onError: conclude,
      },
    );
  });
}

/** Sends a request as a sidecar does, for a gateway that reads slowly or cancels. */
async function sendFromSidecar(client: HttpUpstreamClient): Promise<void> {
  const request = { method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), affinityKey: '' };
  const abort = new AbortController();
  if (random.integerBelow(4) === 0) {
    setTimeout(() => {
      abort.abort();
    }, random.integerBelow(10));
  }
  const delay = random.integerBelow(10);
  try {
    const { chunks } = await client.start(request, abort.signal);
    for await (const chunk of chunks) {
      expect(chunk.length).toBeGreaterThan(0);
      await pause(delay);
    }
  } catch (error) {
    expect(error).toBeInstanceOf(Error);
  }
}

// Guards against ending a process by an assertion or error of a library that bytes from outside raise where nothing catches it.
describe.each(seeds)('responses of arbitrary bytes, seed %i', (seed) => {
  beforeEach(() => {
    random = createRandomSource(seed);
  });

  it('conclude each request of a gateway once', async () => {
    const connections = new UpstreamConnections();
    closers.push(() => {
      connections.close();
    });
    const requests = Array.from({ length: requestCount }, () => sendFromGateway(connections));
    expect(new Set(await Promise.all(requests))).toEqual(new Set([1]));
  });

  it('conclude each request of a sidecar', async () => {
    const address = addressOf(server.address() as AddressInfo);
    const client = new HttpUpstreamClient(() => `http://${address}`);
    closers.push(() => client.close());
    await Promise.all(Array.from({ length: requestCount }, () => sendFromSidecar(client)));
  });

  it('conclude each call to an engine', async () => {
    const client = createEngineClient(addressOf(server.address() as AddressInfo));
    closers.push(() => client.close());
    for (let count = 0; count < 10; count += 1) {
      const calls = [client.readStatus(), client.readInstance()];
      const order = client.order({ type: 'leave', group: 'g', fencingNumber: 1 }, count);
      await Promise.all([...calls, order]);
    }
  });

  it('conclude each call to another process', async () => {
    const address = addressOf(server.address() as AddressInfo);
    const clients = new RpcClientPool();
    closers.push(() => {
      clients.close();
    });
    for (let count = 0; count < 2; count += 1) {
      await expect(clients.client(ControlService, address).get({})).rejects.toThrow();
      clients.retire(address);
    }
  });

  it('sent as requests leave an RPC server able to answer', async () => {
    const address = `127.0.0.1:${await reservePort()}`;
    const rpcServer = createRpcServer({
      address,
      routes: (router) => {
        router.service(ControlService, { get: () => ({ resultCode: 7 }) });
      },
    });
    await rpcServer.open();
    closers.push(() => rpcServer.close());
    const { port } = new URL(`http://${address}`);
    for (let count = 0; count < 10; count += 1) {
      const socket = connect(Number(port), '127.0.0.1');
      socket.on('error', () => undefined);
      await play(socket, drawResponse(random));
    }
    const clients = new RpcClientPool();
    closers.push(() => {
      clients.close();
    });
    expect((await clients.client(ControlService, address).get({})).resultCode).toBe(7);
  });
});
