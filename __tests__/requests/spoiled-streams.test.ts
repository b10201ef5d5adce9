import type { ServerResponse } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import { afterEach, describe, expect, it } from 'vitest';

import {
  admit,
  chat,
  Cleanup,
  FakeWatched,
  modelGroup,
  startGateway,
  startSidecar,
  startUpstream,
} from './fixture.js';

let cleanup = new Cleanup();

afterEach(async () => {
  await cleanup.run();
  cleanup = new Cleanup();
});

const first = 'data: 1\n\n';
const rest = 'data: 2\n\ndata: [DONE]\n\n';
/** Time after which bytes arrive by themselves, in milliseconds. */
const writeInterval = 20;

/** Starts a gateway with two groups; the given writes are the first response of their upstream, all others are sound. */
async function startPath(writes: readonly string[], status = 200): Promise<string> {
  let isFirst = true;
  const answer = async (response: ServerResponse, parts: readonly string[]): Promise<void> => {
    response.writeHead(isFirst ? status : 200, { 'content-type': 'text/event-stream' });
    isFirst = false;
    for (const part of parts) {
      response.write(part);
      await pause(writeInterval);
    }
    response.end();
  };
  const upstream = await startUpstream((request, response) => {
    request.resume();
    void answer(response, isFirst ? writes : [first, rest]);
  }, cleanup);
  const groups = await Promise.all(
    [1, 2].map(async (number) => {
      const sidecar = await startSidecar(upstream, admit(modelGroup('', number)), cleanup);
      return modelGroup(sidecar.address, number);
    }),
  );
  const watched = new FakeWatched();
  watched.set(groups);
  return (await startGateway(watched, cleanup)).url;
}

async function readStream(url: string): Promise<string> {
  return (await chat(url, { stream: true })).text();
}

const spoiled: Readonly<Record<string, string>> = {
  text: 'no event\n\n',
  'text glued to an event': 'no event\ndata: 2\n\n',
  'the head of a second response': 'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nno event',
  bytes: '\0\u00ff\n\n',
};

// Guards against bytes that are no event and reach callers of a stream through a sidecar.
describe.each(Object.entries(spoiled))('a stream with %s', (_, bytes) => {
  it.each([
    ['in the middle', [first, bytes, rest]],
    ['at its end', [first, bytes]],
    ['in the same write', [first + bytes + rest]],
  ])('is broken off after the last sound event: %s', async (__, writes) => {
    const text = await readStream(await startPath(writes));
    expect(text.startsWith(`${first}event: error\n`)).toBe(true);
    expect(text).not.toContain('no event');
    expect(text).not.toContain('[DONE]');
  });

  it('at its start is answered by another attempt', async () => {
    expect(await readStream(await startPath([bytes, first, rest]))).toBe(first + rest);
  });
});

// Guards against a stream that looks whole although events follow its last one, or although it ends inside an event.
describe('a stream', () => {
  it.each([
    ['events after its last one', [first, rest, 'data: 3\n\n']],
    ['half an event as its end', [first, 'data: 2\n\ndata: [DO']],
    ['half an event after its last one', [first, rest, 'data: ']],
  ])('with %s has no end', async (_, writes) => {
    const text = await readStream(await startPath(writes));
    expect(text).not.toContain('[DONE]');
    expect(text).toContain('event: error');
  });

  it('that rejects the request is passed on as it is', async () => {
    const rejection = 'no such model';
    const response = await chat(await startPath([rejection], 400), { stream: true });
    expect([response.status, await response.text()]).toEqual([400, rejection]);
  });

  it('with all that the standard allows is passed on unchanged', async () => {
    const text = `: comment\n\nretry: 10\n\nevent: token\nid: a\nx-field: b\n${first}${rest}`;
    expect(await readStream(await startPath([text]))).toBe(text);
  });
});

// Guards against compressed bytes that reach a caller as plain ones, because the coding ends with the connection of the upstream.
describe.each([true, false])(
  'a response in an unknown transfer coding, as a stream: %s',
  (stream) => {
    it('does not reach the caller', async () => {
      const upstream = await startUpstream((request, response) => {
        request.resume();
        const type = stream ? 'text/event-stream' : 'application/json';
        response.writeHead(200, { 'content-type': type, 'transfer-encoding': 'gzip, chunked' });
        response.end('data: of no run\n\n');
      }, cleanup);
      const sidecar = await startSidecar(upstream, admit(modelGroup('', 1)), cleanup);
      const watched = new FakeWatched();
      watched.set([modelGroup(sidecar.address, 1)]);
      const response = await chat((await startGateway(watched, cleanup)).url, { stream });
      expect(response.status).toBeGreaterThanOrEqual(500);
      expect(await response.text()).not.toContain('of no run');
    });
  },
);
