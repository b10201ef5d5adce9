import { pino } from 'pino';
import { afterEach, describe, expect, it } from 'vitest';

import { createRandomSource, systemClock } from '../../src/common/index.js';
import { RoutingService } from '../../src/generated/pistachiospoke/v1/routing_pb.js';
import { packDocument } from '../../src/routing/index.js';
import { RoutingWatcher } from '../../src/watch/index.js';
import { createRpcServer, MessageQueue, RpcClientPool } from '../../src/wire/index.js';
import { createDocument } from '../routing/documents.js';
import { reservePort, waitFor } from '../support/index.js';

const documentVersion = 7;

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of cleanups.splice(0).reverse()) {
    await close();
  }
});

/** Opens a control host that sends a whole state and a status; returns the versions that its watchers say they have. */
async function openControl(address: string, isFresh: () => boolean): Promise<readonly bigint[]> {
  const versions: bigint[] = [];
  const document = packDocument(createDocument({ version: documentVersion })).body;
  const version = BigInt(documentVersion);
  const server = createRpcServer({
    address,
    routes: (router) => {
      router.service(RoutingService, {
        watch: (request) => {
          versions.push(request.version);
          const fresh = isFresh();
          const queue = new MessageQueue<object>();
          queue.push({ index: 1n, event: { case: 'document', value: document } });
          queue.push({ index: 1n, event: { case: 'synchronized', value: { version } } });
          queue.push({
            index: 1n,
            event: { case: 'sign', value: { fresh, leader: '', voters: [] } },
          });
          return queue;
        },
      });
    },
  });
  await server.open();
  cleanups.push(() => server.close());
  return versions;
}

function openWatcher(address: string): void {
  const clients = new RpcClientPool();
  const watcher = new RoutingWatcher({
    watcher: 'gateway-1',
    kind: 'gateway',
    control: [address],
    clients,
    clock: systemClock,
    logger: pino({ level: 'silent' }),
    random: createRandomSource(1),
  });
  cleanups.push(() => {
    clients.close();
  });
  cleanups.push(() => watcher.close());
  watcher.open();
}

describe('a watch that is opened again', () => {
  // Guards against a gateway that starts beside a control host that lags behind, and takes the same state for current the next time.
  it('names no version until a control host has confirmed one', async () => {
    const address = `127.0.0.1:${await reservePort()}`;
    const versions = await openControl(address, () => false);
    openWatcher(address);
    await waitFor('three watches', () => versions.length >= 3);
    expect(versions.slice(0, 3)).toEqual([0n, 0n, 0n]);
  });
});
