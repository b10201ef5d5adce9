import { setTimeout as pause } from 'node:timers/promises';

import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { PlainService, servicePaths } from '../platform/plain-service.js';
import {
  beginStream,
  eventCount,
  formatEvent,
  formatEvents,
  handleInTurn,
  readResumePoint,
  sendSoundRequests,
  wholeStream,
  type UpstreamHandler,
} from '../platform/spoiled-stream.js';

const soundCount = 4;
const gatewayCount = 3;
const writeInterval = 10;

let deployment: PlatformDeployment;
let service: PlainService;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(0, gatewayCount, 1000, undefined, {}, 'deployment');
  service = new PlainService(deployment, 3);
  await service.open(gatewayCount);
});

beforeEach(async () => {
  expect(await sendSoundRequests(service)).toEqual([]);
});

afterAll(async () => {
  await service.close();
  await deployment.stop();
});

const chunks = 'Transfer-Encoding: chunked';
const lastChunk = '0\r\n\r\n';

function formatChunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/** Writes a head with the given fields and then the given parts of a body to the connection, which stays open. */
function writeRaw(fields: string, ...parts: readonly string[]): UpstreamHandler {
  return async (request, { socket }) => {
    const id = String(request.headers['x-attempt-id']);
    const proof = `X-Attempt-Id: ${id}\r\nX-Response-Seal: seal of ${id}\r\nConnection: close`;
    for (const bytes of [`HTTP/1.1 200 OK\r\n${proof}\r\n${fields}\r\n\r\n`, ...parts]) {
      socket?.write(bytes);
      await pause(writeInterval);
    }
  };
}

const soundPart = formatChunk(formatEvents(1, soundCount));
const whole = formatChunk(wholeStream);

const spoiledFramings: Readonly<Record<string, UpstreamHandler>> = {
  'a length and chunks': writeRaw(`Content-Length: 5\r\n${chunks}`, whole, lastChunk),
  'two lengths': writeRaw('Content-Length: 40\r\nContent-Length: 20', formatEvents(1, 2)),
  'a length with a sign': writeRaw('Content-Length: +42', formatEvents(1, 2)),
  'a coding beside chunks': writeRaw('Transfer-Encoding: gzip, chunked', whole, lastChunk),
  'a chunk larger than its size': writeRaw(chunks, soundPart, `5\r\n${formatEvent(5)}\r\n`),
  'a size that is no number': writeRaw(chunks, soundPart, `xyz\r\n${formatEvent(5)}\r\n`),
  'text behind the size of a chunk': writeRaw(
    chunks,
    soundPart.replace('\r\n', ';text="data: of no run"\r\n'),
    formatChunk('no event\n\n'),
  ),
  'an event whose lines end in all ways': writeRaw(
    chunks,
    soundPart,
    formatChunk('data: of no run\rdata: of no run\r\n\n\r'),
    lastChunk,
  ),
  'a byte behind the last event': writeRaw(chunks, whole, formatChunk('\0'), lastChunk),
};

// Guards against streams whose caller gets other bytes than the events of the run, because their upstream frames them wrongly.
describe.each(Object.entries(spoiledFramings))('a stream with %s', (_, spoil) => {
  it('is continued at another upstream, and its caller sees nothing of it', async () => {
    handleInTurn(service, spoil);
    const { status, body, isWhole } = await service.call(0, servicePaths.flow);
    expect({ status, body, isWhole }).toEqual({ status: 200, body: wholeStream, isWhole: true });
  });

  it('is broken off, or answered with 502, if it cannot be resumed', async () => {
    handleInTurn(service, spoil);
    const { status, body, isWhole } = await service.call(0, servicePaths.flowOnce);
    if (status !== 502) {
      expect({ status, isWhole }).toEqual({ status: 200, isWhole: false });
      expect(wholeStream.startsWith(body), body).toBe(true);
    }
  });
});

// Guards against events that are lost or come twice, because a fault comes while the caller does not read.
describe('a stream whose caller pauses', () => {
  /** The kernel takes some 4 MB for a client that does not read. */
  const padding = 'x'.repeat(150 * 1024);
  const paddedCount = 40;
  const paddedSoundCount = 30;
  const readAfter = 400;

  it('is continued after its last sound event', async () => {
    const spoil: UpstreamHandler = (request, response) => {
      beginStream(request, response);
      response.write(formatEvents(1, paddedSoundCount, padding));
      response.end(`no event\n\n${formatEvents(paddedSoundCount + 1, paddedCount, padding)}`);
    };
    const goOn: UpstreamHandler = (request, response) => {
      beginStream(request, response);
      response.end(formatEvents(readResumePoint(request) + 1, paddedCount, padding));
    };
    handleInTurn(service, spoil, goOn);
    const { body, isWhole } = await service.call(0, servicePaths.flow, readAfter);
    expect(isWhole).toBe(true);
    expect(body === formatEvents(1, paddedCount, padding)).toBe(true);
  });
});

// Guards against a stream that is cut or spoiled when its gateway stops at the moment of the fault.
describe('a stream whose gateway stops', () => {
  it.each([
    [1, 'soon after the signal', 5],
    [2, 'near the middle of the grace period', 450],
  ])('is continued by gateway %i if the fault comes %s', async (gateway, _, delay) => {
    handleInTurn(service, async (request, response) => {
      beginStream(request, response);
      response.write(formatEvents(1, soundCount));
      await pause(writeInterval);
      deployment.gatewayProgram(gateway).signal('SIGTERM');
      await pause(delay);
      response.end(`no event\n\n${formatEvents(soundCount + 1, eventCount)}`);
    });
    const { body, isWhole } = await service.call(gateway, servicePaths.flow);
    expect({ body, isWhole }).toEqual({ body: wholeStream, isWhole: true });
  });
});
