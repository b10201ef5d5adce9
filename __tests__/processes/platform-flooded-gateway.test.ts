import { setTimeout as pause } from 'node:timers/promises';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import {
  createServiceHeaders,
  PlainService,
  servicePaths,
  type ServiceAnswer,
} from '../platform/plain-service.js';
import { handleSoundly } from '../platform/spoiled-stream.js';
import { Flood } from '../support/flood.js';
import { formatHead, OpenConnection, waitFor } from '../support/index.js';
import { readResidentMemory } from '../support/resident-memory.js';

/** Times in milliseconds. */
const routeTimeout = 4000;
const floodTime = 1000;
const callInterval = 20;
const callerCount = 24;
const megabyte = 1024 * 1024;
/** What a gateway may need in addition for all floods of a test. */
const memoryLimit = 64 * megabyte;

let deployment: PlatformDeployment;
let service: PlainService;
let floods: Flood[] = [];
let callCount = 0;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(0, 1, 1000, undefined, {}, 'deployment');
  service = new PlainService(deployment, 3, routeTimeout);
  await service.open(1);
});

afterAll(async () => {
  await service.close();
  await deployment.stop();
});

const head = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: seal\r\n';
const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
const eventChunks = `${head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
const events = `${head}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n`;
const failure = 'HTTP/1.1 404 Unknown\r\nX-Attempt-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n';

const byteChunk = '1\r\nx\r\n';
/** A byte of the body after an extension of some kilobytes. */
const extendedChunk = `1;${'x'.repeat(15_000)}\r\nx\r\n`;

/** What is sent, to a request on which path. */
const forms = [
  ['a line', servicePaths.flow, `${eventChunks}6\r\ndata: \r\n`, byteChunk],
  ['empty lines', servicePaths.flow, `${eventChunks}6\r\nid: 1\n\r\n`, '5\r\ndata\n\r\n'],
  ['a client error', servicePaths.again, failure, byteChunk],
  ['a success', servicePaths.again, chunked, byteChunk],
  ['comments between events', servicePaths.flow, events, ': x\n\n'],
  ['blank lines', servicePaths.flow, events, '\n'],
  ['extended chunks', servicePaths.again, chunked, extendedChunk],
  ['an extension', servicePaths.again, `${chunked}1;`, 'x'],
  ['trailers', servicePaths.again, `${chunked}0\r\n`, 'X-Field: x\r\n'],
  ['bytes after the response', servicePaths.again, `${head}Content-Length: 2\r\n\r\nok`, 'x'],
  ['a body', servicePaths.again, chunked, `400\r\n${'x'.repeat(1024)}\r\n`],
] as const;

async function measureMemory(): Promise<number> {
  const bytes = await readResidentMemory(deployment.gatewayProgram(0).pid);
  if (bytes === undefined) {
    throw new Error('the gateway has ended');
  }
  return bytes;
}

/** Lets the first upstream answer marked requests without end. */
function floodMarked(beginning: string, repeated: string): void {
  floods = [];
  for (const upstream of service.upstreams) {
    upstream.handle = handleSoundly;
  }
  const [faulty] = service.upstreams;
  if (faulty !== undefined) {
    faulty.handle = (request, response) => {
      if (request.headers['x-flood'] === undefined) {
        handleSoundly(request, response);
      } else {
        const text = beginning.replace('ID', String(request.headers['x-attempt-id']));
        floods.push(new Flood(request.socket, text, repeated));
      }
    };
  }
}

async function callFlooded(path: string): Promise<OpenConnection> {
  const connection = await OpenConnection.open(deployment.gatewayAddress(0));
  callCount += 1;
  const id = `flooded-${callCount}`;
  connection.write(
    formatHead({ method: 'GET', path, headers: { ...createServiceHeaders(id), 'x-flood': '1' } }),
  );
  return connection;
}

// Guards against an upstream whose bytes fill the memory of a gateway, or keep it from its other callers.
describe('bytes without end', () => {
  it.each(forms)(
    'cost little, and other callers are served: %s',
    async (_, path, beginning, repeated) => {
      const before = await measureMemory();
      floodMarked(beginning, repeated);
      const callers: OpenConnection[] = [];
      await waitFor('a request at the faulty upstream', async () => {
        const called = Array.from({ length: callerCount }, () => callFlooded(path));
        callers.push(...(await Promise.all(called)));
        await pause(50);
        return floods.length > 0;
      });
      const answers: ServiceAnswer[] = [];
      let peak = before;
      const end = performance.now() + floodTime;
      while (performance.now() < end) {
        answers.push(await service.call(0, servicePaths.again));
        peak = Math.max(peak, await measureMemory());
        await pause(callInterval);
      }
      callers.forEach((caller) => {
        caller.close();
      });
      // A busy gateway may close new connections unread; their callers try another one.
      expect(answers.filter(({ status }) => status !== 200 && status !== 0)).toEqual([]);
      expect(answers.some(({ status }) => status === 200)).toBe(true);
      expect(peak - before).toBeLessThan(memoryLimit);
      await waitFor('the connections to be closed', () => floods.every(({ isClosed }) => isClosed));
    },
  );
});

// Guards against reading comments and blank lines, which are no answer, until the timeout of the route.
describe('a stream without events', () => {
  it.each([
    ['comments', ': x\n\n'],
    ['blank lines', '\n'],
  ])('is given up while its caller waits, and answered elsewhere: %s', async (_, repeated) => {
    floodMarked(events, repeated);
    const callers: OpenConnection[] = [];
    await waitFor('a request at the faulty upstream', async () => {
      callers.push(await callFlooded(servicePaths.flow));
      await pause(callInterval);
      return floods.length > 0;
    });
    await Promise.all(callers.map((caller) => waitFor('an answer', () => caller.received !== '')));
    expect(callers.map(({ received }) => received.slice(0, 12))).toEqual(
      callers.map(() => 'HTTP/1.1 200'),
    );
    expect(floods.every(({ isClosed }) => isClosed)).toBe(true);
    callers.forEach((caller) => {
      caller.close();
    });
  });
});
