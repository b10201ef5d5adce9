import { describe, expect, it } from 'vitest';

import { decodeOrderStatus, decodeReport, encodeOrder } from '../../platform/wire/engine.js';
import { decodeManifest } from '../../platform/wire/manifest.js';
import { decodeHeartbeat, decodeLeave } from '../../platform/wire/registration.js';
import { platformDialect } from '../../platform/wire/requests.js';
import { checkRoutingDocument } from '../../src/routing/index.js';

const manifest = {
  version: 7,
  routes: [
    {
      name: 'r-1',
      host: 'desk.example',
      path_prefix: '/draft/',
      kind: 'streaming',
      timeout_ms: 8000,
      slo_ms: 400,
      priority: 1,
      backends: [
        { service: 'engines', weight: 90 },
        { service: 'desk', weight: 10 },
      ],
      attempts: 2,
      public: false,
      sticky: true,
      resumable: true,
      gap_slo_ms: 300,
    },
    {
      name: 'r-2',
      host: 'desk.example',
      path_prefix: '/book/',
      kind: 'non_idempotent',
      timeout_ms: 1200,
      service: 'desk',
    },
  ],
  services: [
    {
      name: 'engines',
      max_conns: 366,
      runtime: {
        capacity: 24,
        models: [{ name: 'm', size: 4, share: 0.5, pace: 1, load_s: 16, warm_s: 1.6 }],
        loads_per_s: 3,
        loads_at_once: 6,
        keeps: 1,
        form_ms: 300,
        unknown_field: true,
      },
    },
    { name: 'desk', max_conns: 130 },
  ],
  tenants: [{ name: 'branch', api_keys: ['k'], priority: 1 }],
};

describe('manifests', () => {
  it('are decoded into routing documents that pass validation', async () => {
    const text = JSON.stringify(manifest);
    const document = await decodeManifest(text);
    expect((await checkRoutingDocument(document)).ok).toBe(true);
    expect(document).toMatchObject({
      version: 7,
      source: text,
      routes: [
        { kind: 'streaming', timeout: 8000, objective: 400, longestPause: 300, isResumable: true },
        {
          kind: 'nonIdempotent',
          targets: [{ service: 'desk', weight: 1 }],
          attempts: 1,
          isPublic: false,
        },
      ],
      services: [
        { engine: { models: [{ groupSize: 4, loadDuration: 16_000, stagedJoinDuration: 1600 }] } },
        { name: 'desk' },
      ],
      accounts: [{ name: 'branch', keys: ['k'], priority: 1 }],
    });
  });

  it.each([
    ['cut short', JSON.stringify(manifest).slice(0, 300)],
    ['empty', ''],
    ['of another shape', '{"version":"seven"}'],
  ])('%s are rejected', async (_, text) => {
    expect(await decodeManifest(text)).toBeUndefined();
  });

  it('without a timeout fail validation', async () => {
    const routes = [{ ...manifest.routes[1], timeout_ms: 0 }];
    const document = await decodeManifest(JSON.stringify({ ...manifest, routes }));
    expect((await checkRoutingDocument(document)).err).toBe(true);
  });
});

describe('heartbeats', () => {
  const body = {
    service: 'desk',
    address: '10.0.0.1:80',
    zone: 'a',
    version: 'v1',
    capacity: 6,
    state: 'draining',
    cold_left_ms: 0,
    sequence: 4,
  };
  const decode = (changes: object) =>
    decodeHeartbeat('i-1', JSON.stringify({ ...body, ...changes }));

  it('identify the instance and say whether it is draining', () => {
    expect(decode({})).toEqual({
      type: 'read',
      value: {
        type: 'present',
        instance: {
          id: 'i-1',
          service: 'desk',
          address: '10.0.0.1:80',
          failureDomain: 'a',
          isDraining: true,
        },
        sequence: 4,
        coldFor: 0,
      },
    });
    expect(decodeHeartbeat('i-1', '{"service":"desk"}').type).toBe('unreadable');
  });

  // Guards against a cold runner that control takes for a warm one.
  it('say how much longer the runner is cold', () => {
    expect(decode({ cold_left_ms: 1234 })).toMatchObject({ value: { coldFor: 1234 } });
    const { coldFor } = platformDialect.readResponse(200, { 'x-cold-ms': '700' });
    expect(coldFor).toBe(700);
    expect(platformDialect.readResponse(200, { 'x-cold-ms': '0' }).coldFor).toBe(0);
    expect(platformDialect.readResponse(200, { 'x-cold-ms': 'soon' }).coldFor).toBeUndefined();
    expect(platformDialect.readResponse(200, {}).coldFor).toBeUndefined();
  });

  it('contain the start time of the runner if it sends one', () => {
    const born = 1_764_728_000_123;
    expect(decode({ born })).toMatchObject({ value: { instance: { startedAt: born } } });
    expect(decodeLeave('i-1', JSON.stringify({ born }))).toEqual({
      type: 'read',
      value: { type: 'leaving', id: 'i-1', startedAt: born },
    });
    expect(decodeLeave('i-1', '')).toEqual({ type: 'read', value: { type: 'leaving', id: 'i-1' } });
  });

  /**
   * Guards against a healthy runner no longer receiving requests: someone else sent a heartbeat under its id with a state that does not
   * exist. It was treated as a drain, which could not be undone.
   */
  it.each([
    ['a state that no runner has', { state: 'resting' }],
    ['no state', { state: undefined }],
    ['a number for a service', { service: 7 }],
    ['a name for an address', { address: 'desk.example:80' }],
    ['an address without a port', { address: '10.0.0.1' }],
    ['no zone', { zone: undefined }],
    ['a sequence that is text', { sequence: '4' }],
    ['a sequence that is not whole', { sequence: 4.5 }],
    ['a start that is not whole', { born: 17.5 }],
    ['a start that is text', { born: '1764728000123' }],
    ['no capacity', { capacity: undefined }],
    ['a list for a version', { version: [] }],
  ])('with %s are rejected', (_, changes) => {
    expect(decode(changes).type).toBe('unreadable');
  });

  it.each(['', 'null', '[]', '7', '{"service":', '\u0000\ufffd'])(
    'that are not JSON objects are rejected: %j',
    (text) => {
      expect(decodeHeartbeat('i-1', text).type).toBe('unreadable');
    },
  );

  it.each(['null', '[]', '{"born":"now"}', '{'])('are rejected as leave calls: %j', (text) => {
    expect(decodeLeave('i-1', text).type).toBe('unreadable');
  });
});

describe('engines', () => {
  it('report their group and staged models', () => {
    const text = JSON.stringify({
      stage: 'mixed',
      models: [],
      busy: false,
      sequence: 2,
      queued: 1,
      active: 12,
      fabric_domain: 'f1',
      staged: ['m'],
      group: { name: 'm/1', epoch: 12, rank: 0, state: 'open' },
    });
    expect(decodeReport(text)).toMatchObject({
      type: 'status',
      orderCount: 2,
      startedAt: undefined,
      state: {
        fabricDomain: 'f1',
        staged: ['m'],
        membership: { group: 'm/1', fencingNumber: 12, state: 'open' },
        running: 12,
        waiting: 1,
        slowdown: 1,
      },
    });
    expect(decodeReport('<html>').type).toBe('unreadable');
  });

  it('receive orders with the fencing number of the group', () => {
    const order = {
      type: 'join' as const,
      group: 'm/1',
      fencingNumber: 12,
      model: 'm',
      members: ['i-1', 'i-2'],
    };
    expect(JSON.parse(encodeOrder(order, 5))).toEqual({
      op: 'join',
      group: 'm/1',
      epoch: 12,
      model: 'm',
      peers: ['i-1', 'i-2'],
      expect: 5,
    });
  });

  it.each([
    [202, 'accepted'],
    [200, 'accepted'],
    [409, 'unfit'],
    [412, 'outdated'],
    [503, 'unanswered'],
  ])('respond with status %i for the outcome %s', (status, outcome) => {
    expect(decodeOrderStatus(status)).toBe(outcome);
  });
});

describe('header fields of requests', () => {
  const instructions = {
    instance: 'i-1',
    remaining: 1200.7,
    account: 'branch',
    priority: 1,
    resumeAfter: undefined,
  };

  it('of the gateway replace those of the caller', () => {
    const caller = [
      'Host',
      'desk.example',
      'X-Attempt-Id',
      'r-1',
      'Authorization',
      'Bearer key',
      'X-Tenant',
      'forged',
      'X-Expect-Instance',
      'forged',
      'X-Request-Priority',
      '0',
      'Connection',
      'keep-alive, X-Hop',
      'X-Hop',
      'one connection only',
      'X-Other',
      'kept',
    ];
    const fields = platformDialect.writeUpstreamHeaders(caller, instructions);
    expect(fields).toEqual([
      'Host',
      'desk.example',
      'X-Attempt-Id',
      'r-1',
      'X-Other',
      'kept',
      'x-expect-instance',
      'i-1',
      'x-deadline-ms',
      '1200',
      'x-request-priority',
      '1',
      'x-tenant',
      'branch',
    ]);
  });

  it('of an answer say whether the request ran', () => {
    const { readResponse } = platformDialect;
    expect(readResponse(503, { 'x-not-executed': '1' }).isNotRun).toBe(true);
    expect(readResponse(503, {}).isNotRun).toBe(false);
    expect(readResponse(421, {}).isNotRun).toBe(true);
    expect(readResponse(200, { 'x-instance-load': '3,1,8' }).load).toEqual({
      running: 3,
      waiting: 1,
      slots: 8,
    });
    expect(readResponse(200, { 'x-instance-load': 'full' }).load).toBeUndefined();
  });

  it('of an answer give the rate limit and say whether the request was misdirected', () => {
    const { readResponse } = platformDialect;
    const readRateLimit = (text: string) =>
      readResponse(200, { 'server-limit': text }).requestsPerSecond;
    expect(['1.9', '0', '12'].map(readRateLimit)).toEqual([1.9, 0, 12]);
    expect(['', 'none', '-1', '1e3'].map(readRateLimit)).toEqual(Array(4).fill(undefined));
    expect(readResponse(421, {}).isMisdirected).toBe(true);
    expect(readResponse(503, {}).isMisdirected).toBe(false);
  });

  it('of an answer say how long the upstream wants a pause, and whether it leaves', () => {
    const { readResponse } = platformDialect;
    const readPause = (text: string, status = 503) =>
      readResponse(status, { 'retry-after': text }).retryAfter;
    expect(['3', '0.25', '0'].map((text) => readPause(text))).toEqual([3000, 250, 0]);
    expect(['', 'soon', '-1'].map((text) => readPause(text))).toEqual(Array(3).fill(undefined));
    expect(readPause('3', 429)).toBeUndefined();
    expect(readResponse(200, { 'server-leaving': '1' }).isLeaving).toBe(true);
    expect(readResponse(200, { 'server-leaving': '0' }).isLeaving).toBe(false);
    expect(readResponse(200, {}).isLeaving).toBe(false);
  });
});

describe('requests', () => {
  it.each([
    ['5c1e07a2:800, 91bd3f06:410,e4402b7d:250', ['5c1e07a2', '91bd3f06']],
    ['5c1e07a2:800,5c1e07a2:800,e4402b7d:250', ['5c1e07a2']],
    ['e4402b7d:250', []],
    ['', []],
    [',,', []],
  ])(
    'name the prompt segments that others may share, without the last: "%s"',
    (text, promptSegments) => {
      const request = platformDialect.readRequest({ 'x-prefix-hash': text });
      expect(request.promptSegments).toEqual(promptSegments);
    },
  );
});
