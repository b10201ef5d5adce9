import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Err } from 'ts-results';

import { createFailure } from '../../src/common/index.js';
import {
  admit,
  callerKey,
  chat,
  Cleanup,
  FakeClaims,
  FakeWatched,
  modelGroup,
  serviceGroup,
  startGateway,
  startSidecar,
  startUpstream,
} from '../requests/fixture.js';

let cleanup = new Cleanup();
let url = '';
let watched = new FakeWatched();

interface ErrorBody {
  readonly error: { readonly code: number; readonly name: string; readonly request_id: string };
}

beforeEach(async () => {
  cleanup = new Cleanup();
  watched = new FakeWatched();
  const upstream = await startUpstream((request, response) => {
    response.end(JSON.stringify({ url: request.url, key: request.headers.authorization ?? null }));
  }, cleanup);
  const sidecar = await startSidecar(upstream, admit(modelGroup('')), cleanup);
  watched.set([modelGroup(sidecar.address)]);
  ({ url } = await startGateway(watched, cleanup, { maximumBodyBytes: 1000 }));
});

afterEach(() => cleanup.run());

const authorized = { authorization: `Bearer ${callerKey}` };

describe('answers to callers', () => {
  it.each([
    ['malformedBody', 400, '/v1/chat/completions', 'POST', authorized, '{'],
    ['invalidRequest', 400, '/v1/chat/completions', 'POST', authorized, '{"model":"assist-llm"}'],
    [
      'unknownModel',
      404,
      '/v1/chat/completions',
      'POST',
      authorized,
      '{"model":"other","messages":[{}]}',
    ],
    [
      'notReachable',
      403,
      '/v1/chat/completions',
      'POST',
      { authorization: 'Bearer key-of-guest' },
      '{"model":"assist-llm","messages":[{}]}',
    ],
    ['unknownAccount', 401, '/v1/chat/completions', 'POST', {}, '{}'],
    ['unknownAccount', 401, '/v1/models', 'GET', { authorization: 'Bearer wrong' }, undefined],
    ['bodyTooLarge', 413, '/v1/chat/completions', 'POST', authorized, 'x'.repeat(2000)],
    ['unsupportedMethod', 405, '/v1/models', 'POST', authorized, '{}'],
    ['unknownPath', 404, '/v2/other', 'GET', authorized, undefined],
    ['unknownService', 404, '/services/other/quotes', 'GET', authorized, undefined],
    ['noServingGroup', 503, '/services/rental-desk/quotes', 'GET', authorized, undefined],
  ] as const)('%s as %i', async (name, status, path, method, headers, body) => {
    const response = await fetch(`${url}${path}`, { method, headers, body: body ?? null });
    const answer = (await response.json()) as ErrorBody;
    expect(response.status).toBe(status);
    expect(answer.error.name).toBe(name);
    expect(response.headers.get('pistachiospoke-result')).toBe(String(answer.error.code));
    expect(response.headers.get('pistachiospoke-request-id')).toBe(answer.error.request_id);
  });

  it('lists the models that the account may reach, with their adapters', async () => {
    const response = await fetch(`${url}/v1/models`, { headers: authorized });
    const list = (await response.json()) as { data: { id: string }[] };
    expect(list.data.map(({ id }) => id)).toEqual(['assist-llm', 'assist-llm+dairy']);
  });

  it('selects the group by model, version and adapter, and does not forward the API key', async () => {
    for (const model of ['assist-llm', 'assist-llm@1', 'assist-llm@1+dairy']) {
      const response = await chat(url, { model });
      expect(await response.json()).toEqual({ url: '/v1/chat/completions', key: null });
    }
    expect((await chat(url, { model: 'assist-llm@2' })).status).toBe(404);
  });

  it('reports at once, with Retry-After, that a key cannot be claimed without a quorum', async () => {
    const claims = new FakeClaims();
    const refusing = {
      claim: () => Promise.resolve(Err(createFailure('noQuorum', '', 3000))),
      settle: claims.settle,
    };
    const group = serviceGroup('127.0.0.1:1');
    watched.set([group]);
    const gateway = await startGateway(watched, cleanup, { claims: refusing });
    const response = await fetch(`${gateway.url}/services/rental-desk/quotes`, {
      method: 'POST',
      headers: { ...authorized, 'idempotency-key': 'quote-1' },
      body: 'quote',
    });
    const answer = (await response.json()) as ErrorBody;
    expect([response.status, answer.error.name]).toEqual([503, 'claimUnavailable']);
    expect(Number(response.headers.get('retry-after'))).toBeGreaterThanOrEqual(3);
  });

  it('reports "not run" when nothing listens at the address of the group', async () => {
    watched.set([modelGroup('127.0.0.1:1')]);
    const response = await chat(url, {}, { 'pistachiospoke-non-idempotent': 'true' });
    const answer = (await response.json()) as ErrorBody;
    expect([response.status, answer.error.name]).toEqual([503, 'upstreamUnreachable']);
    expect(response.headers.get('retry-after')).not.toBeNull();
  });
});
