import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { createServiceHeaders, PlainService, servicePaths } from '../platform/plain-service.js';
import { formatHead, OpenConnection } from '../support/index.js';
import { measureSocketCapacity } from '../support/socket-capacity.js';

/** Times in milliseconds. What is left of the grace period after the port has closed is enough to read all responses. */
const grace = 6000;
const portCloses = 2500;
/** Callers may leave a response unread for longer than it takes until the port has closed. */
const routeTimeout = 5000;

const kilobyte = 1024;
const lastChunk = '\r\n0\r\n\r\n';

let deployment: PlatformDeployment;
let service: PlainService;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(0, 1, grace, undefined, {}, 'deployment');
  service = new PlainService(deployment, 2, routeTimeout);
  await service.open(1);
});

afterAll(async () => {
  await service.close();
  await deployment.stop();
});

/** Length of a body that consists of `x`, without the sizes of its chunks. */
function countBytes(received: string): number {
  return received.slice(received.indexOf('\r\n\r\n')).replace(/[^x]/g, '').length;
}

describe('a gateway that is stopped while callers read slowly', () => {
  // Guards against responses that are taken for sent once they are written, and lose what waits for a slow caller.
  it('sends the rest of each response', async () => {
    const capacity = await measureSocketCapacity();
    const sizes = Array.from({ length: 24 }, (_, index) => capacity + (index - 10) * 30 * kilobyte);
    const handle = (request: IncomingMessage, response: ServerResponse): void => {
      const id = String(request.headers['x-attempt-id']);
      const size = sizes[Number(id.split('-')[1])] ?? 0;
      response.writeHead(200, {
        'x-attempt-id': id,
        'x-response-seal': 'seal',
        'content-length': size,
      });
      response.end('x'.repeat(size));
    };
    for (const upstream of service.upstreams) {
      upstream.handle = handle;
    }
    const address = deployment.gatewayAddress(0);
    const connections = await Promise.all(
      sizes.map(async (_, index) => {
        const connection = await OpenConnection.open(address);
        connection.pauseReading();
        connection.write(
          formatHead({
            method: 'POST',
            path: servicePaths.once,
            headers: { ...createServiceHeaders(`slow-${index}`), 'content-length': '0' },
          }),
        );
        return connection;
      }),
    );
    await pause(200);
    deployment.gatewayProgram(0).signal('SIGTERM');
    await pause(portCloses + 50);
    connections.forEach((connection) => {
      connection.resumeReading();
    });
    await Promise.all(connections.map(({ closed }) => closed));
    const lengths = connections.map(({ received }) => countBytes(received));
    expect(lengths).toEqual(sizes);
    expect(connections.every(({ received }) => received.endsWith(lastChunk))).toBe(true);
  });
});
