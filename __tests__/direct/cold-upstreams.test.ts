import { describe, expect, it } from 'vitest';

import { PermitAllocator } from '../../src/control/routing/index.js';
import { RequestPermits, type ColdAnswer } from '../../src/dispatch/index.js';
import { listColdProfiles, listReturned } from '../../src/routing/index.js';
import { emptyRoutingView } from '../../src/watch/index.js';
import { createDocument } from '../routing/documents.js';

const upstream = 'i-1@1';
const profile = { duration: 3000, requestsPerSecond: 32 };
const bounds = { overrun: 1.5, slack: 5 };
const profiles = new Map([[upstream, profile]]);

function createPermits(now = 0): RequestPermits {
  const permits = new RequestPermits(8, now, bounds);
  permits.listStarts(profiles, now);
  return permits;
}

function createAnswer(changes: Partial<ColdAnswer> = {}): ColdAnswer {
  return { term: 1, number: 1, gateways: 17, rates: new Map(), notices: [], ...changes };
}

function applyAnswer(permits: RequestPermits, answer: ColdAnswer, now: number): void {
  permits.applyGrant({ limits: [], permits: new Map(), cold: answer }, now, now);
}

/** Number of requests that may be sent between two times if one is eligible every 10 ms. */
function countSent(permits: RequestPermits, from: number, until: number): number {
  let count = 0;
  for (let now = from; now < until; now += 10) {
    if (permits.maySend(upstream, now)) {
      permits.noteSent(upstream, now);
      permits.noteWritten(upstream, now);
      count += 1;
    }
  }
  return count;
}

describe('a start that a gateway first hears of', () => {
  // Guards against an unlimited burst of all gateways before anyone could know that the upstream is cold; also at the first state.
  it('counts as cold for the declared duration', () => {
    const permits = createPermits(1000);
    expect(permits.isCold(upstream, 1000)).toBe(true);
    expect(countSent(permits, 1000, 4000)).toBe(0);
    expect(permits.isCold(upstream, 4000)).toBe(false);
    expect(countSent(permits, 4000, 4100)).toBe(10);
  });

  // Guards against an instance that was silent for a while and counts as a new start when it is listed again.
  it('is not cold again after it was missing from the routing state', () => {
    const permits = createPermits();
    permits.listStarts(new Map(), 4000);
    permits.listStarts(profiles, 60_000);
    expect(permits.isCold(upstream, 60_000)).toBe(false);
  });

  // Guards against limits on warm upstreams: everything started anew, or the leader knows more than this gateway.
  it('is warm once the leader passes on that it is', () => {
    const permits = createPermits();
    const notices = [{ upstream, coldFor: 0, age: 900 }];
    applyAnswer(permits, createAnswer({ notices }), 100);
    expect(permits.isCold(upstream, 100)).toBe(false);
  });

  // Guards against gateways without the setting that hold requests back.
  it('is not limited without the setting, or without a declared duration', () => {
    const without = new RequestPermits(8, 0);
    without.listStarts(profiles, 0);
    expect(countSent(without, 0, 1000)).toBe(100);
    expect(without.takeReport(1000).cold).toBeUndefined();
    const undeclared = new RequestPermits(8, 0, bounds);
    undeclared.listStarts(new Map(), 0);
    expect(countSent(undeclared, 0, 1000)).toBe(100);
    expect(undeclared.takeReport(1000).cold).toBeUndefined();
    expect(undeclared.isReportDue(1000)).toBe(false);
  });
});

describe('statements about an upstream', () => {
  // Guards against full load on an upstream that is cold although it has not restarted.
  it('make it cold when it responds that it is', () => {
    const permits = createPermits();
    expect(permits.noteCold(upstream, 2000, 10_000)).toBe(true);
    expect(permits.noteCold(upstream, 1990, 10_010)).toBe(false);
    expect(permits.isCold(upstream, 11_990)).toBe(true);
    expect(permits.isCold(upstream, 12_001)).toBe(false);
  });

  // Guards against an old statement of the leader that undoes what the upstream has said since.
  it('do not replace later ones', () => {
    const permits = createPermits();
    permits.noteCold(upstream, 2000, 10_000);
    const notices = [{ upstream, coldFor: 0, age: 500 }];
    applyAnswer(permits, createAnswer({ notices }), 10_400);
    expect(permits.isCold(upstream, 10_400)).toBe(true);
  });

  // Guards against gateways that do not learn what only one of them has seen.
  it('reach the other gateways through the leader', () => {
    const allocator = new PermitAllocator();
    const [first, second] = [createPermits(), createPermits()];
    first.noteCold(upstream, 2000, 10_000);
    for (const [name, permits] of Object.entries({ first, second })) {
      const { cold, ...report } = permits.takeReport(10_100);
      const request = cold === undefined ? undefined : { report: cold, term: 1 };
      const answer = allocator.allocate({ gateway: name, ...report, cold: request }, 10_110);
      permits.applyGrant(answer, 10_100, 10_120);
    }
    expect(second.isCold(upstream, 10_200)).toBe(true);
    expect(second.isCold(upstream, 12_200)).toBe(false);
  });
});

describe('what the leader hears', () => {
  /** Reports to the leader and applies its answer. */
  function exchange(allocator: PermitAllocator, permits: RequestPermits, now: number): void {
    const { cold, ...report } = permits.takeReport(now);
    const request = cold === undefined ? undefined : { report: cold, term: 1 };
    const answer = allocator.allocate({ gateway: 'gateway-1', ...report, cold: request }, now);
    permits.applyGrant(answer, now, now);
  }

  // Guards against heartbeats that do not reach gateways: a warm start stays limited, and a cold one is not.
  it('in heartbeats reaches the gateways', () => {
    const allocator = new PermitAllocator();
    const permits = createPermits();
    allocator.noteCold(upstream, 0, 300);
    exchange(allocator, permits, 500);
    expect(permits.isCold(upstream, 500)).toBe(false);
    allocator.noteCold(upstream, 2000, 900);
    exchange(allocator, permits, 1000);
    expect(permits.isCold(upstream, 1000)).toBe(true);
  });

  // Guards against a gateway that has restarted after the end of an evacuation and takes an old heartbeat for the latest word.
  it('of a returned domain counts until a later heartbeat says otherwise, also after the leader has changed', () => {
    const allocator = new PermitAllocator();
    allocator.noteReturned(upstream, 3000, 10_000);
    allocator.clear();
    allocator.noteCold(upstream, 0, 10_300);
    const permits = createPermits(6000);
    exchange(allocator, permits, 10_400);
    expect(permits.isCold(upstream, 10_400)).toBe(true);
    allocator.noteCold(upstream, 0, 11_600);
    exchange(allocator, permits, 11_700);
    expect(permits.isCold(upstream, 11_700)).toBe(false);
  });
});

describe('a failure domain that is back in service', () => {
  const instance = { id: 'i-1', startedAt: 1, service: 'desk', address: '10.0.0.1:80' };
  const view = {
    ...emptyRoutingView,
    instances: new Map([['i-1', { ...instance, failureDomain: 'a', isDraining: false }]]),
  };
  const evacuations = new Map([['a', { failureDomain: 'a', startedAt: 1 }]]);

  it('is found with its instances and the profile of their service', () => {
    const document = createDocument();
    const services = document.services.map((service) => ({ ...service, cold: profile }));
    expect(listColdProfiles(view, { ...document, services })).toEqual(profiles);
    expect(listColdProfiles(view, document)).toEqual(new Map());
    expect(listReturned({ evacuations }, view)).toEqual([upstream]);
    expect(listReturned({ evacuations }, { ...view, evacuations })).toEqual([]);
  });

  // Guards against full load on the instances of a returned domain, also after a heartbeat that was sent before they became cold.
  it('has cold instances, unless they say otherwise later', () => {
    const permits = createPermits();
    permits.noteReturned([upstream], 10_000);
    const before = [{ upstream, coldFor: 0, age: 0 }];
    applyAnswer(permits, createAnswer({ notices: before }), 10_500);
    expect(permits.isCold(upstream, 10_500)).toBe(true);
    applyAnswer(permits, createAnswer({ number: 2, notices: before }), 11_600);
    expect(permits.isCold(upstream, 11_600)).toBe(false);
  });
});

describe('the rate of a gateway for a cold upstream', () => {
  const rates = new Map([[upstream, 16]]);

  it('ends before its own share begins', () => {
    const permits = createPermits();
    permits.noteCold(upstream, 60_000, 2000);
    applyAnswer(permits, createAnswer({ rates }), 2000);
    expect(countSent(permits, 2010, 3500)).toBeLessThanOrEqual(26);
    expect(countSent(permits, 3500, 5000)).toBe(0);
    // One at once and then 32/17 in a second.
    expect(countSent(permits, 5010, 15_010)).toBe(19);
  });

  // Guards against own shares of gateways that the leader has forgotten, added to what it grants to all others.
  it('is 0 without control for longer than the leader remembers it', () => {
    const permits = createPermits();
    permits.noteCold(upstream, 10_000_000, 2000);
    applyAnswer(permits, createAnswer(), 2000);
    expect(countSent(permits, 700_000, 702_000)).toBe(0);
  });

  // Guards against a bound that each of hundreds of gateways breaks with one request.
  it('has no own share if there are more gateways than the bound allows requests', () => {
    const permits = createPermits();
    permits.noteCold(upstream, 60_000, 2000);
    applyAnswer(permits, createAnswer({ gateways: 60 }), 2000);
    expect(countSent(permits, 5010, 15_010)).toBe(0);
  });

  // Guards against answers that overtake each other, and against a replaced leader whose rates are no longer counted.
  it('is not taken from an answer older than the last', () => {
    const permits = createPermits();
    permits.noteCold(upstream, 60_000, 2000);
    applyAnswer(permits, createAnswer({ term: 2, number: 7 }), 2000);
    applyAnswer(permits, createAnswer({ term: 2, number: 6, rates }), 2010);
    applyAnswer(permits, createAnswer({ term: 1, number: 9, rates }), 2020);
    expect(countSent(permits, 2030, 3400)).toBe(0);
  });

  // Guards against a new start that waits for the next regular report, and against a report for every request.
  it('is asked for early, at a bounded rate', () => {
    const permits = createPermits();
    expect(permits.isReportDue(50)).toBe(false);
    expect(permits.isReportDue(100)).toBe(true);
    permits.takeReport(100);
    expect(permits.isReportDue(300)).toBe(false);
    permits.noteWanted(upstream);
    expect(permits.isReportDue(300)).toBe(true);
    applyAnswer(permits, createAnswer({ rates }), 310);
    expect(permits.isReportDue(500)).toBe(false);
  });

  it('counts no requests that were withdrawn before they were written, or answered 421', () => {
    const permits = createPermits();
    permits.noteCold(upstream, 60_000, 2000);
    applyAnswer(permits, createAnswer({ rates: new Map([[upstream, 1]]) }), 2000);
    expect(permits.maySend(upstream, 2010)).toBe(true);
    permits.noteSent(upstream, 2010);
    expect(permits.maySend(upstream, 2020)).toBe(false);
    permits.noteUnsent(upstream);
    expect(permits.maySend(upstream, 2030)).toBe(true);
    permits.noteSent(upstream, 2030);
    permits.noteWritten(upstream, 2031);
    expect(permits.maySend(upstream, 2040)).toBe(false);
    permits.noteMisdirected(upstream);
    expect(permits.maySend(upstream, 2050)).toBe(true);
  });
});
