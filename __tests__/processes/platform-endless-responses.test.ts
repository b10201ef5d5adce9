import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { answerSoundly, PlainService, servicePaths } from '../platform/plain-service.js';
import { EndlessResponse, waitFor } from '../support/index.js';

/** Time in which the connection of a response without end must be closed, in milliseconds. */
const closeLimit = 2000;
/** Sound requests before each faulty response, of which the service's budget for retries is a share. */
const soundCount = 60;

let deployment: PlatformDeployment;
let service: PlainService;
const responses: EndlessResponse[] = [];

beforeAll(async () => {
  deployment = await PlatformDeployment.start(0, 1, 1000, undefined, {}, 'deployment');
  service = new PlainService(deployment, 3);
  await service.open(1);
});

beforeEach(async () => {
  responses.splice(0);
  const calls = Array.from({ length: soundCount }, () => service.call(0, servicePaths.again));
  expect((await Promise.all(calls)).filter(({ status }) => status !== 200)).toEqual([]);
});

afterAll(async () => {
  await service.close();
  await deployment.stop();
});

/** Lets the first upstream answer its next request without end. */
function answerWithoutEnd(beginning: string, repeated: string): void {
  const [faulty] = service.upstreams;
  if (faulty !== undefined) {
    faulty.handle = ({ socket, headers }) => {
      faulty.handle = answerSoundly;
      const text = beginning.replace('ID', String(headers['x-attempt-id']));
      responses.push(new EndlessResponse(socket, text, repeated));
    };
  }
}

/** Calls until the faulty upstream was reached, and returns that call's status. */
async function callFaulty(path: string): Promise<number> {
  return waitFor('a request at the faulty upstream', async () => {
    const { status } = await service.call(0, path);
    return responses.length > 0 ? status : undefined;
  });
}

const chunk = '400\r\n' + 'x'.repeat(1024) + '\r\n';
const chunked = 'X-Attempt-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n';
const unframed = 'X-Attempt-Id: ID\r\nConnection: close\r\n\r\n';

/** What is sent, and the statuses of a request that may be repeated and of one that may not. */
const endless = [
  ['a failure in chunks', `HTTP/1.1 500 Failed\r\n${chunked}`, chunk, 200, 502],
  ['a failure without a length', `HTTP/1.1 500 Failed\r\n${unframed}`, 'x', 200, 502],
  ['a rejection', `HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n${chunked}`, chunk, 200, 200],
  [
    'a misdirected request',
    `HTTP/1.1 421 Other\r\nX-Not-Executed: 1\r\n${chunked}`,
    chunk,
    200,
    200,
  ],
  ['a client error', `HTTP/1.1 404 Unknown\r\n${chunked}`, chunk, 200, 502],
  ['a success without a receipt', `HTTP/1.1 200 OK\r\n${chunked}`, chunk, 200, 502],
  ['interim responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n', 200, 502],
  ['blank lines', '', '\r\n', 200, 502],
  ['a field name', 'HTTP/1.1 200 OK\r\n', 'x', 200, 502],
  ['a field value', 'HTTP/1.1 200 OK\r\nX-Value: ', 'x', 200, 502],
  ['no protocol', '', 'x', 200, 502],
] as const;

// Guards against reading bytes that are no answer for ever, and against callers who wait for their end while another upstream is sound.
describe.each(endless)('a response without end: %s', (_, beginning, repeated, again, once) => {
  it.each([
    ['may be repeated', servicePaths.again, again],
    ['may not be repeated', servicePaths.once, once],
  ])('is given up, and its connection closed, if the request %s', async (__, path, status) => {
    answerWithoutEnd(beginning, repeated);
    expect(await callFaulty(path)).toBe(status);
    const givenUpAt = performance.now();
    await waitFor('the connection to be closed', () => responses.every(({ isClosed }) => isClosed));
    expect(performance.now() - givenUpAt).toBeLessThan(closeLimit);
  });
});
