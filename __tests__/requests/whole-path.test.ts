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

// Guards against sending requests to an upstream in the pause it asked for, and against refusing callers whom another group could serve.
describe('an upstream beside a sidecar that rejects a request and asks for a pause', () => {
  it('gets no more requests in the pause, while other groups serve the callers', async () => {
    let rejected = 0;
    const paused = await startUpstream((request, response) => {
      request.resume();
      rejected += 1;
      response.writeHead(503, { 'retry-after': '600' }).end('{}');
    }, cleanup);
    const serving = await startUpstream((request, response) => {
      request.resume();
      response.writeHead(200, { 'content-type': 'application/json' }).end('{}');
    }, cleanup);
    const watched = new FakeWatched();
    const groups = await Promise.all(
      [paused, serving].map(async (upstream, index) => {
        const sidecar = await startSidecar(upstream, admit(modelGroup('', index + 1)), cleanup);
        return modelGroup(sidecar.address, index + 1);
      }),
    );
    watched.set(groups);
    const { url } = await startGateway(watched, cleanup);
    const statuses: number[] = [];
    for (let count = 0; count < 24; count += 1) {
      const messages = [{ role: 'user', content: `question ${count}` }];
      statuses.push((await chat(url, { messages })).status);
    }
    expect(rejected).toBe(1);
    expect(statuses.filter((status) => status !== 200)).toEqual([503]);
  });
});

describe('the path of a request through gateway, sidecar and upstream', () => {
  it('answers streamed and not streamed', async () => {
    const upstream = await startUpstream((request, response) => {
      let body = '';
      request.on('data', (chunk: Buffer) => (body += chunk.toString()));
      request.on('end', () => {
        if ((JSON.parse(body) as { stream?: boolean }).stream === true) {
          response.writeHead(200, { 'content-type': 'text/event-stream' });
          response.write('data: {"token":1}\n\n');
          response.end('data: {"token":2}\n\ndata: [DONE]\n\n');
        } else {
          response.writeHead(200, { 'content-type': 'application/json' });
          response.end(JSON.stringify({ path: request.url }));
        }
      });
    }, cleanup);
    const watched = new FakeWatched();
    const group = modelGroup('');
    const sidecar = await startSidecar(upstream, admit(group), cleanup);
    watched.set([modelGroup(sidecar.address)]);
    const { url } = await startGateway(watched, cleanup);

    const whole = await chat(url, {});
    expect(whole.status).toBe(200);
    expect(whole.headers.get('pistachiospoke-result')).toBe('0');
    expect(await whole.json()).toEqual({ path: '/v1/chat/completions' });

    const streamed = await chat(url, { stream: true });
    expect(streamed.headers.get('content-type')).toBe('text/event-stream');
    expect(await streamed.text()).toBe(
      'data: {"token":1}\n\ndata: {"token":2}\n\ndata: [DONE]\n\n',
    );
  });
});
