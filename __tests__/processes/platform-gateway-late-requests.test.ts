import { setTimeout as pause } from 'node:timers/promises';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { createServiceHeaders, PlainService, servicePaths } from '../platform/plain-service.js';
import { handleSoundly } from '../platform/spoiled-stream.js';
import { formatHead, OpenConnection } from '../support/index.js';

/** Times in milliseconds. The port of the gateway closes 2.5 s after the signal. */
const grace = 6000;
const arrivalInterval = 500;
const arrivalCount = 12;
/** Requests under way when the port closes run for this long. */
const run = 1500;

let deployment: PlatformDeployment;
let service: PlainService;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(0, 1, grace, undefined, {}, 'deployment');
  service = new PlainService(deployment, 2, 5000);
  await service.open(1);
});

afterAll(async () => {
  await service.close();
  await deployment.stop();
});

/** Paths, and how many bytes of the request arrive before the signal. */
const kinds = {
  again: [servicePaths.again, 20],
  once: [servicePaths.once, 20],
  stream: [servicePaths.flow, 20],
  'stream once': [servicePaths.flowOnce, 20],
  'all but a byte of the body': [servicePaths.once, -1],
} as const;
const body = '0123456789';

/** Sends a request in two parts, so that its connection is open until the rest arrives. */
async function arriveAt(
  connection: OpenConnection,
  text: string,
  firstPart: number,
  delay: number,
): Promise<void> {
  connection.write(text.slice(0, firstPart));
  await pause(delay);
  connection.write(text.slice(firstPart));
  await Promise.race([connection.closed, pause(grace)]);
}

// Guards against requests that come late in the grace period, are passed on, and are cut at its end.
describe('a gateway that is stopped while requests keep arriving on open connections', () => {
  it('answers or rejects each of them', async () => {
    for (const upstream of service.upstreams) {
      upstream.handle = (request, response) => {
        setTimeout(() => {
          handleSoundly(request, response);
        }, run);
      };
    }
    const address = deployment.gatewayAddress(0);
    const calls = await Promise.all(
      Object.entries(kinds).flatMap(([kind, [path, firstPart]]) =>
        Array.from({ length: arrivalCount }, async (_, index) => {
          const id = `${kind}-${index}`;
          const connection = await OpenConnection.open(address);
          const headers = { ...createServiceHeaders(id), 'content-length': String(body.length) };
          const text = formatHead({ method: 'POST', path, headers }) + body;
          return { id, index, text, firstPart, connection };
        }),
      ),
    );
    const arrivals = calls.map(({ connection, text, firstPart, index }) =>
      arriveAt(connection, text, firstPart, index * arrivalInterval),
    );
    deployment.gatewayProgram(0).signal('SIGTERM');
    await Promise.all(arrivals);
    const received = new Set(
      service.upstreams.flatMap((each) =>
        each.received.map(({ headers }) => headers['x-attempt-id']),
      ),
    );
    const outcomes = calls.map(({ id, connection }) => {
      const status = connection.received.slice(9, 12);
      return { id, status, wasPassedOn: received.has(id) };
    });
    // What was passed on gets its whole answer; what was not is rejected, or its connection ended before it was read.
    expect(
      outcomes.filter(({ status, wasPassedOn }) => wasPassedOn !== (status === '200')),
    ).toEqual([]);
    expect(outcomes.filter(({ status }) => !['200', '503', ''].includes(status))).toEqual([]);
    expect(outcomes.some(({ status }) => status === '200')).toBe(true);
    expect(outcomes.some(({ status }) => status === '503')).toBe(true);
  });
});
