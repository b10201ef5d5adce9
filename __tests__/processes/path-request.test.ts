import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { resultCodes, type ResultCodeName } from '../../src/common/index.js';
import { Fleet, fleetKey, fleetModel } from '../support/index.js';

/** The whole path over separate processes: caller, gateway, sidecar, engine; control beside them. */

interface BadRequest {
  readonly name: ResultCodeName;
  readonly path: string;
  /** Undefined for a GET. */
  readonly body?: string;
  readonly key?: string;
}

let fleet: Fleet;

beforeAll(async () => {
  fleet = await Fleet.start();
});

afterAll(async () => {
  await fleet.stop();
});

describe('a request over separate processes', () => {
  it('gets its own whole answer, not streamed', async () => {
    const response = await fleet.chat({ content: 'mine', tokens: 3 });
    expect(response.status).toBe(200);
    expect(response.headers.get('pistachiospoke-result')).toBe('0');
    expect(await response.text()).toContain('mine#0 mine#1 mine#2');
  });

  it('gets its own whole answer, streamed', async () => {
    const response = await fleet.chat({ content: 'mine', tokens: 3, isStreamed: true });
    const text = await response.text();
    expect(response.headers.get('content-type')).toBe('text/event-stream');
    expect(text).toContain('mine#2');
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
  });

  it('gets its own answer among many at once', async () => {
    const words = Array.from({ length: 40 }, (_, index) => `caller${index}`);
    const answers = await Promise.all(
      words.map(async (word, index) => {
        const response = await fleet.chat({ content: word, isStreamed: index % 2 === 0 });
        return response.text();
      }),
    );
    answers.forEach((answer, index) => {
      expect(answer.match(/caller\d+#/g)).toEqual(Array(4).fill(`caller${index}#`));
    });
  });

  it('reaches a plain service with its path and body', async () => {
    const response = await fleet.callService('/quotes?day=1', 'fish');
    expect(response.status).toBe(200);
    expect(await response.json()).toMatchObject({ path: '/quotes?day=1', body: 'fish' });
  });

  it('lists the models', async () => {
    const response = await fetch(`${fleet.origin()}/v1/models`, { headers: authorization() });
    expect(await response.text()).toContain(fleetModel);
  });
});

describe('a request that cannot be taken', () => {
  const chat = '/v1/chat/completions';
  const valid = { model: fleetModel, messages: [{ role: 'user', content: 'x' }] };
  const cases: readonly BadRequest[] = [
    { name: 'malformedBody', path: chat, body: '{"model":' },
    { name: 'invalidRequest', path: chat, body: '{"messages":[]}' },
    { name: 'unknownAccount', path: chat, body: JSON.stringify(valid), key: 'other' },
    { name: 'unknownModel', path: chat, body: JSON.stringify({ ...valid, model: 'none' }) },
    { name: 'unknownPath', path: '/v2' },
    { name: 'unsupportedMethod', path: chat },
    { name: 'bodyTooLarge', path: chat, body: JSON.stringify({ note: 'x'.repeat(100_001) }) },
    { name: 'unknownService', path: '/services/none/', body: '' },
  ];

  it.each(cases)('gets $name', async ({ name, path, body, key }) => {
    const response = await fetch(`${fleet.origin()}${path}`, {
      headers: authorization(key),
      ...(body === undefined ? {} : { method: 'POST', body }),
    });
    const { number, httpStatus, message } = resultCodes[name];
    expect(response.status).toBe(httpStatus);
    expect(response.headers.get('pistachiospoke-result')).toBe(String(number));
    const text = await response.text();
    expect(text).toContain(message);
    expect(JSON.parse(text)).toMatchObject({ error: { code: number, name } });
  });
});

function authorization(key = fleetKey): Readonly<Record<string, string>> {
  return { authorization: `Bearer ${key}` };
}
