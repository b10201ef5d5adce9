import { setTimeout as pause } from 'node:timers/promises';

import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';

import { TestUpstream } from '../direct/upstream.js';
import { AnnouncedUpstream } from '../support/announced-upstream.js';
import { Flood } from '../support/flood.js';
import { Fleet, fleetService, OpenConnection, waitFor } from '../support/index.js';
import { readResidentMemory } from '../support/resident-memory.js';
import { formatOwnHead } from './gateway-callers.js';

/** Times in milliseconds. */
const floodTime = 3000;
const callInterval = 50;
/** Time for the requests to reach an upstream. */
const callTime = 300;
const callerCount = 24;
const megabyte = 1024 * 1024;
/** What a process may need in addition for all floods of a test, of which one for each caller may be under way. */
const memoryLimit = 192 * megabyte;

let fleet: Fleet;
let upstream: TestUpstream;
let announced: AnnouncedUpstream;
let floods: Flood[] = [];
let callers: OpenConnection[] = [];

beforeAll(async () => {
  fleet = await Fleet.start({ serviceHosts: 2 });
  upstream = new TestUpstream();
  upstream.handle = (_, response) => response.end('sound');
  await upstream.open();
  announced = new AnnouncedUpstream(fleet, 1, upstream.address);
  await waitFor('the upstream to be reached', async () => {
    await callSoundly();
    return upstream.received.length > 0;
  });
});

afterEach(() => {
  callers.forEach((caller) => {
    caller.close();
  });
  callers = [];
});

afterAll(async () => {
  announced.close();
  await upstream.close();
  await fleet.stop();
});

const chunked = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const eventStream = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n';
const eventChunks = `${eventStream}Transfer-Encoding: chunked\r\n\r\n`;
const failure = 'HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n';
const byteChunk = '1\r\nx\r\n';

/** What is sent. */
const forms = [
  ['a body byte by byte', chunked, byteChunk],
  ['a failure byte by byte', failure, byteChunk],
  ['a line of an event byte by byte', `${eventChunks}6\r\ndata: \r\n`, byteChunk],
  ['empty lines of an event', `${eventChunks}6\r\nid: 1\n\r\n`, '5\r\ndata\n\r\n'],
  ['comments in chunks', eventChunks, '5\r\n: x\n\n\r\n'],
  ['comments', `${eventStream}Connection: close\r\n\r\n`, ': x\n\n'],
  ['blank lines', `${eventStream}Connection: close\r\n\r\n`, '\n'],
  ['small events', eventChunks, 'a\r\ndata: xx\n\n\r\n'],
  ['extended chunks', chunked, `1;${'x'.repeat(15_000)}\r\nx\r\n`],
  ['an extension', `${chunked}1;`, 'x'],
  ['trailers', `${chunked}0\r\n`, 'X-Field: x\r\n'],
  ['interim responses', '', 'HTTP/1.1 103 Early Hints\r\nX: x\r\n\r\n'],
  ['fields of a head', 'HTTP/1.1 200 OK\r\n', 'X: x\r\n'],
  ['bytes after the response', 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok', 'x'],
  ['a body', chunked, `400\r\n${'x'.repeat(1024)}\r\n`],
] as const;

async function callSoundly(): Promise<number> {
  const response = await fleet.callService('/sound', 'body', {
    'pistachiospoke-non-idempotent': 'false',
  });
  await response.text();
  return response.status;
}

async function measureMemory(): Promise<ReadonlyMap<string, number>> {
  const names = ['gateway-1', 'sidecar-desk-1'];
  const sizes = names.map(async (name) => {
    const bytes = await readResidentMemory(fleet.member(name).program.pid);
    if (bytes === undefined) {
      throw new Error(`${name} has ended`);
    }
    return [name, bytes] as const;
  });
  return new Map(await Promise.all(sizes));
}

/** Lets the upstream answer marked requests without end. */
function floodMarked(beginning: string, repeated: string): void {
  floods = [];
  upstream.handle = ({ headers, socket }, response) => {
    if (headers['x-flood'] === undefined) {
      response.end('sound');
    } else {
      floods.push(new Flood(socket, beginning, repeated));
    }
  };
}

async function callFlooded(): Promise<void> {
  const caller = await OpenConnection.open(new URL(fleet.origin()).host);
  callers.push(caller);
  caller.write(
    formatOwnHead('POST', `/services/${fleetService}/flood`, {
      'x-flood': '1',
      'content-length': '0',
      'pistachiospoke-non-idempotent': 'true',
    }),
  );
}

// Guards against an upstream whose bytes fill the memory of its sidecar or of a gateway, or keep them from their other callers.
describe('bytes without end through a sidecar', () => {
  it.each(forms)(
    'cost little, and other callers are served: %s',
    async (_, beginning, repeated) => {
      const before = await measureMemory();
      floodMarked(beginning, repeated);
      await waitFor('requests at the faulty upstream', async () => {
        await Promise.all(Array.from({ length: callerCount }, () => callFlooded()));
        await pause(callTime);
        return floods.length > 0;
      });
      const statuses: number[] = [];
      const growth = { 'gateway-1': 0, 'sidecar-desk-1': 0 };
      const end = performance.now() + floodTime;
      while (performance.now() < end) {
        statuses.push(await callSoundly());
        const now = await measureMemory();
        for (const name of Object.keys(growth) as (keyof typeof growth)[]) {
          growth[name] = Math.max(growth[name], (now.get(name) ?? 0) - (before.get(name) ?? 0));
        }
        await pause(callInterval);
      }
      expect(statuses.filter((status) => status !== 200)).toEqual([]);
      expect(growth['gateway-1']).toBeLessThan(memoryLimit);
      expect(growth['sidecar-desk-1']).toBeLessThan(memoryLimit);
      callers.forEach((caller) => {
        caller.close();
      });
      await waitFor('the connections to be closed', () => floods.every(({ isClosed }) => isClosed));
    },
  );
});
