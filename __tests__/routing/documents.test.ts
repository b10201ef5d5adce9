import { describe, expect, it } from 'vitest';

import { checkRoutingDocument, chooseService, RouteTable } from '../../src/routing/index.js';
import { bookRoute, createDocument, lookupRoute, streamRoute } from './documents.js';

describe('validation of a routing document', () => {
  it('accepts a complete document', async () => {
    expect((await checkRoutingDocument(createDocument())).ok).toBe(true);
  });

  it.each([
    [
      'an unknown service',
      { routes: [{ ...streamRoute, targets: [{ service: 'x', weight: 1 }] }] },
    ],
    [
      'two routes with the same host and prefix',
      { routes: [streamRoute, { ...streamRoute, name: 'other' }] },
    ],
    [
      'weights that add up to 0',
      { routes: [{ ...lookupRoute, targets: [{ service: 'desk', weight: 0 }] }] },
    ],
    ['a timeout of 0', { routes: [{ ...lookupRoute, timeout: 0 }] }],
    ['a route without a target', { routes: [{ ...lookupRoute, targets: [] }] }],
    [
      'one key for two accounts',
      {
        accounts: [
          { name: 'a', keys: ['same'] },
          { name: 'b', keys: ['same'] },
        ],
      },
    ],
  ])('refuses %s', async (_, changes) => {
    const result = await checkRoutingDocument({ ...createDocument(), ...changes });
    expect(result.err && result.val.code).toBe('invalidRouting');
  });

  // Guards against an account that is acknowledged, and whose requests then fail at their time limit, each of them.
  it.each(['ሰላም', 'a\nb', 'a\u0000', '\u007f', ' a', 'a ', '\u{1f600}'])(
    'refuses an account whose name cannot stand in a header field: %j',
    async (name) => {
      const accounts = [{ name, keys: ['key'] }];
      const result = await checkRoutingDocument({ ...createDocument(), accounts });
      expect(result.err && result.val.detail).toContain(JSON.stringify(name));
    },
  );

  it.each(['a', 'é', 'north east', 'a\tb', '!~'])('accepts the account name %j', async (name) => {
    const accounts = [{ name, keys: ['key'] }];
    expect((await checkRoutingDocument(createDocument({ accounts }))).ok).toBe(true);
  });

  it('does not reveal a key in its message', async () => {
    const accounts = [
      { name: 'a', keys: ['secret-key'] },
      { name: 'b', keys: ['secret-key'] },
    ];
    const result = await checkRoutingDocument({ ...createDocument(), accounts });
    expect(result.err && result.val.detail).not.toContain('secret-key');
  });

  it('accepts a key that one account lists twice', async () => {
    const accounts = [{ name: 'a', keys: ['same', 'same'] }];
    expect((await checkRoutingDocument(createDocument({ accounts }))).ok).toBe(true);
  });
});

describe('route table', () => {
  it('chooses the longest matching prefix of the host', () => {
    const inner = { ...bookRoute, name: 'inner', pathPrefix: '/lookup/inner/' };
    const table = new RouteTable(createDocument({ routes: [lookupRoute, inner, streamRoute] }));
    expect(table.findRoute('desk.example', '/lookup/inner/7')?.name).toBe('inner');
    expect(table.findRoute('desk.example', '/lookup/7?q=/lookup/inner/')?.name).toBe('lookup');
    expect(table.findRoute('desk.example', '/lookup')).toBeUndefined();
    expect(table.findRoute('other.example', '/lookup/7')).toBeUndefined();
  });

  it('finds the account of each key', () => {
    const table = new RouteTable(createDocument());
    expect(table.findAccount('key-2')?.name).toBe('branch');
    expect(table.findAccount('')).toBeUndefined();
  });

  it('splits requests by weight and never chooses a target of weight 0', () => {
    const targets = [
      { service: 'never', weight: 0 },
      { service: 'most', weight: 90 },
      { service: 'few', weight: 10 },
    ];
    const route = { ...lookupRoute, targets };
    expect(chooseService(route, 0)).toBe('most');
    expect(chooseService(route, 0.899)).toBe('most');
    expect(chooseService(route, 0.901)).toBe('few');
    expect(chooseService(route, 0.9999999)).toBe('few');
  });
});
