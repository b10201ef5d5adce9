import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { RoutingService } from '../../src/generated/pistachiospoke/v1/routing_pb.js';
import { createRpcServer, RpcClientPool } from '../../src/wire/index.js';
import { DarkHost, reservePort, SwallowingRelay } from '../support/index.js';

/** Timeout in milliseconds of each call, shorter than the interval at which a connection is pinged. */
const callTimeout = 1500;
/** Calls start so often that the next one begins before the last one ends. */
const callInterval = 700;
const silentCalls = 6;
/** Timeout in milliseconds of a call whose caller waits for long. */
const longTimeout = 5000;
/** The kernel repeats a lost first packet at most every second at first, and with growing pauses later: none at 5.4 to 6.9 s. */
const darkMilliseconds = 5400;

let port: number;
let clients: RpcClientPool;
let cleanups: (() => void | Promise<void>)[];

async function openServer(): Promise<void> {
  const server = createRpcServer({
    address: `127.0.0.1:${port}`,
    routes: (router) => {
      router.service(RoutingService, { read: () => ({ source: 'document' }) });
    },
  });
  await server.open();
  cleanups.push(() => server.close());
}

async function openRelay(): Promise<SwallowingRelay> {
  const relay = await SwallowingRelay.open(`127.0.0.1:${port}`);
  cleanups.push(() => relay.close());
  return relay;
}

/** Resolves with the source, or with what the call failed with. */
async function read(address: string, timeoutMs = callTimeout): Promise<string> {
  try {
    const call = clients.client(RoutingService, address).read({}, { timeoutMs });
    return (await call).source;
  } catch (error) {
    return String(error);
  }
}

beforeEach(async () => {
  port = await reservePort();
  clients = new RpcClientPool();
  cleanups = [
    () => {
      clients.close();
    },
  ];
});

afterEach(async () => {
  for (const close of cleanups.reverse()) {
    await close();
  }
});

describe('calls with short timeouts', () => {
  // Guards against a silent connection that is never given up, because each call on it ends before its ping times out.
  it('are answered again after their connection went silent', async () => {
    await openServer();
    const relay = await openRelay();
    expect(await read(relay.address)).toBe('document');
    relay.swallowOpenConnections();
    const reads: Promise<string>[] = [];
    for (let count = 0; count < silentCalls; count += 1) {
      reads.push(read(relay.address));
      await sleep(callInterval);
    }
    expect((await Promise.all(reads)).at(-1)).toBe('document');
  });

  // Guards against calls that spend all their time on a connection that is never opened.
  it('fail for want of a connection while a host has no power', async () => {
    const dark = await DarkHost.open(port);
    cleanups.push(() => dark.close());
    expect(await read(`127.0.0.1:${port}`, longTimeout)).toContain('[unavailable]');
  });

  // Guards against waiting for a first packet that the kernel repeats only after seconds.
  it('are answered once a host without power is back', async () => {
    const dark = await DarkHost.open(port);
    const hanging = read(`127.0.0.1:${port}`);
    await sleep(darkMilliseconds);
    await dark.close();
    await openServer();
    await hanging;
    expect(await read(`127.0.0.1:${port}`)).toBe('document');
  });

  // Guards against calls that fail because another one on their connection timed out.
  it('do not end a watch on their connection when they time out', async () => {
    const server = createRpcServer({
      address: `127.0.0.1:${port}`,
      routes: (router) => {
        router.service(RoutingService, {
          read: () => new Promise(() => undefined),
          async *watch() {
            yield {};
            await sleep(2 * callTimeout);
            yield {};
          },
        });
      },
    });
    await server.open();
    cleanups.push(() => server.close());
    const address = `127.0.0.1:${port}`;
    const messages: unknown[] = [];
    for await (const message of clients.client(RoutingService, address).watch({})) {
      messages.push(message);
      if (messages.length === 1) {
        void read(address);
      }
    }
    expect(messages).toHaveLength(2);
  });
});
