import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { createEngineClient } from '../../platform/engine-client.js';
import { HttpUpstreamClient } from '../../src/sidecar/attempts/index.js';
import { EndlessResponse, RawUpstream, waitFor } from '../support/index.js';
import {
  admit,
  chat,
  Cleanup,
  FakeWatched,
  modelGroup,
  startGateway,
  startSidecar,
} from './fixture.js';
import { sidecarRequest } from './upstream-clients.js';

/** Time in which a call must end and its connection be closed, in milliseconds. */
const limit = 4000;

let upstream: RawUpstream;
let beginning = '';
let repeated = '';
const responses: EndlessResponse[] = [];
const closers: (() => unknown)[] = [];

beforeEach(async () => {
  responses.splice(0);
  upstream = new RawUpstream((socket) => {
    responses.push(new EndlessResponse(socket, beginning, repeated));
  });
  await upstream.open();
});

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
  await upstream.close();
});

const endlessHeads = {
  'interim responses': ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  'blank lines': ['', '\r\n'],
  'a field name': ['HTTP/1.1 200 OK\r\n', 'x'],
  'no protocol': ['', 'x'],
} as const;

const endlessBodies = {
  'a body in chunks': [
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    `400\r\n${' '.repeat(1024)}\r\n`,
  ],
  'a body without a length': ['HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n', ' '],
} as const;

async function expectEnd(call: Promise<unknown>): Promise<void> {
  const startedAt = performance.now();
  await call;
  await waitFor('the connections to be closed', () => responses.every(({ isClosed }) => isClosed));
  expect(responses.length).toBeGreaterThan(0);
  expect(performance.now() - startedAt).toBeLessThan(limit);
}

// Guards against a sidecar that reads the head of a response for ever, while another upstream could serve the request.
describe.each(Object.entries(endlessHeads))('a head without end: %s', (_, [first, then]) => {
  it('fails the request of a sidecar', async () => {
    [beginning, repeated] = [first, then];
    const client = new HttpUpstreamClient(() => `http://${upstream.address}`);
    closers.push(() => client.close());
    const call = client.start(sidecarRequest, new AbortController().signal);
    await expectEnd(expect(call).rejects.toMatchObject({ failure: { code: 'upstreamFailed' } }));
  });
});

// Guards against a sidecar that waits for the end of a call to its engine for ever, or keeps all that it reads in memory.
describe.each(Object.entries({ ...endlessHeads, ...endlessBodies }))(
  'an engine that answers without end: %s',
  (_, [first, then]) => {
    beforeEach(() => {
      [beginning, repeated] = [first, then];
    });

    it('leaves its status unanswered', async () => {
      const client = createEngineClient(upstream.address);
      closers.push(() => client.close());
      await expectEnd(expect(client.readStatus()).resolves.toMatchObject({ type: 'unanswered' }));
    });

    it('ends the question for its id and orders', async () => {
      const client = createEngineClient(upstream.address);
      closers.push(() => client.close());
      await expectEnd(client.readInstance());
      await expectEnd(client.order({ type: 'leave', group: 'g', fencingNumber: 1 }, 0));
    });
  },
);

/** The whole path through a sidecar, with one attempt; resolves with the text of the caller's answer, or undefined if it broke off. */
async function askThroughSidecar(
  cleanup: Cleanup,
  isStreamed: boolean,
): Promise<string | undefined> {
  const group = modelGroup('');
  const sidecar = await startSidecar(`http://${upstream.address}`, admit(group), cleanup);
  const watched = new FakeWatched();
  watched.set([modelGroup(sidecar.address)]);
  const { url } = await startGateway(watched, cleanup);
  const response = await chat(
    url,
    { stream: isStreamed },
    { 'pistachiospoke-non-idempotent': 'true' },
  );
  return response.text().catch(() => undefined);
}

const endlessAnswers = {
  'a success': ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', false],
  'a failure': ['HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n', false],
  'a rejection with a pause': [
    'HTTP/1.1 503 Full\r\nRetry-After: 1\r\nTransfer-Encoding: chunked\r\n\r\n',
    false,
  ],
  'an event of a stream': [
    'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n',
    true,
  ],
} as const;

// Guards against a sidecar that reads the answer of its upstream for ever, although its caller has got a failure.
describe.each(Object.entries(endlessAnswers))(
  'an answer without end through a sidecar: %s',
  (_, [first, isStreamed]) => {
    it('ends the request, and its connection is closed', async () => {
      [beginning, repeated] = [first, `400\r\n${'x'.repeat(1024)}\r\n`];
      const cleanup = new Cleanup();
      closers.push(() => cleanup.run());
      const asking = askThroughSidecar(cleanup, isStreamed);
      await expectEnd(asking);
      expect((await asking)?.includes('"name"') ?? true).toBe(true);
    });
  },
);
