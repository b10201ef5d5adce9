import { request as sendRequest } from 'node:http';
import { connect, type Socket } from 'node:net';
import { text } from 'node:stream/consumers';
import { setTimeout as pause } from 'node:timers/promises';

import { Registry } from 'prom-client';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { createLogger, createRandomSource, systemClock } from '../../src/common/index.js';
import { DirectGateway, DirectMetrics } from '../../src/gateway/direct/index.js';
import { RouteTable } from '../../src/routing/index.js';
import { routingGatewaySettingsSchema } from '../../src/settings/index.js';
import { emptyRoutingView } from '../../src/watch/index.js';
import { platformDialect } from '../../platform/wire/requests.js';
import { createDocument } from '../routing/documents.js';
import { reservePort, waitFor } from '../support/index.js';
import { TestUpstream } from './upstream.js';

/** Less than one caller may hold without a budget. */
const bufferBytes = 40_000;
const chunk = 'x'.repeat(50_000);
const slowCallers = 5;
/** Time after which a caller tries again, in milliseconds. */
const retryInterval = 20;
const registry = new Registry();
const upstream = new TestUpstream();
const sockets: Socket[] = [];
let gateway: DirectGateway;

beforeEach(async () => {
  await upstream.open();
  const document = createDocument();
  // Without a long time limit, it would be the end of the requests that closes the connections.
  const routes = document.routes.map((route) => ({ ...route, timeout: 3_600_000 }));
  const instance = { id: 'i-1', service: 'desk', failureDomain: 'a', isDraining: false };
  const view = {
    ...emptyRoutingView,
    table: new RouteTable({ ...document, routes }),
    instances: new Map([['i-1', { ...instance, address: upstream.address }]]),
    isSynchronized: true,
    confirmedAt: Number.POSITIVE_INFINITY,
  };
  const settings = routingGatewaySettingsSchema.parse({
    name: 'gateway-1',
    failureDomain: 'a',
    listen: `127.0.0.1:${await reservePort()}`,
    readiness: `127.0.0.1:${await reservePort()}`,
    seeds: { addresses: ['127.0.0.1:1'], port: 1 },
    bounds: { graceMilliseconds: 100 },
    memory: { bufferBytes },
  });
  gateway = new DirectGateway({
    settings,
    dialect: platformDialect,
    readView: () => view,
    subscribe: () => () => undefined,
    metrics: new DirectMetrics(registry),
    clock: systemClock,
    random: createRandomSource(1),
    logger: createLogger('test', 'silent'),
  });
  gateway.setPosition({ gateways: 1, position: 0 });
  await gateway.open();
});

afterEach(async () => {
  sockets.forEach((socket) => socket.destroy());
  await gateway.close();
  await upstream.close();
});

/** Sends a request and reads nothing of the response. */
function callWithoutReading(): Socket {
  const socket = connect(gateway.port, '127.0.0.1');
  socket.pause();
  const head = 'GET /lookup/endless HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer key-1';
  socket.write(`${head}\r\n\r\n`);
  socket.on('error', () => undefined);
  sockets.push(socket);
  return socket;
}

async function callAndRead(): Promise<string> {
  const response = await new Promise<NodeJS.ReadableStream>((resolve, reject) => {
    const headers = { host: 'desk.example', authorization: 'Bearer key-1' };
    const options = { host: '127.0.0.1', port: gateway.port, path: '/lookup/short', headers };
    sendRequest(options, resolve).on('error', reject).end();
  });
  return text(response);
}

async function readHeldBytes(): Promise<number> {
  const page = await registry.metrics();
  const line = /pistachiospoke_held_bytes (\d+)/.exec(page);
  return Number(line?.[1] ?? Number.POSITIVE_INFINITY);
}

async function countClosed(): Promise<number> {
  const page = await registry.metrics();
  const line = /pistachiospoke_slow_callers_total\{action="closed"\} (\d+)/.exec(page);
  return Number(line?.[1] ?? 0);
}

async function countUnread(): Promise<number> {
  const page = await registry.metrics();
  const line = /pistachiospoke_connections_shed_total (\d+)/.exec(page);
  return Number(line?.[1] ?? Number.NaN);
}

/**
 * The gateway closes new connections unread while the event loop, which it shares with this test, is busy. Their callers try again; a
 * connection that fails without being counted as closed for this reason is an error.
 */
async function callUntilAccepted(): Promise<string> {
  for (;;) {
    const before = await countUnread();
    try {
      return await callAndRead();
    } catch (error) {
      if ((await countUnread()) !== before + 1) {
        throw error;
      }
    }
    await pause(retryInterval);
  }
}

describe('callers that do not read', () => {
  /**
   * Guards against a gateway that runs out of memory, and against a budget that makes other callers pay. Callers stop reading long responses;
   * they are closed, their requests at the upstream are ended, and a caller that reads gets its whole response meanwhile.
   */
  it('are closed when the memory budget is exceeded, and others are served', async () => {
    let ended = 0;
    upstream.handle = ({ url }, response) => {
      if (url === '/lookup/short') {
        response.end(chunk);
        return;
      }
      response.on('close', () => {
        ended += 1;
      });
      const send = (): void => {
        while (!response.destroyed && response.write(chunk)) {
          // Writes until the connection takes no more.
        }
      };
      response.on('drain', send);
      send();
    };
    Array.from({ length: slowCallers }, callWithoutReading);
    await waitFor('closed connections', async () => (await countClosed()) >= 1);
    expect(await callUntilAccepted()).toBe(chunk);
    await waitFor('the end of a request at the upstream', () => ended >= 1);
    await waitFor('memory below the budget', async () => (await readHeldBytes()) <= bufferBytes);
  });
});
