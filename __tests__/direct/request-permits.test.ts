import { describe, expect, it } from 'vitest';

import { RequestPermits } from '../../src/dispatch/index.js';

const upstream = 'i-1';

function createPermitsWithLimit(): RequestPermits {
  const permits = new RequestPermits(4, 0);
  permits.noteAnswer(upstream, 2, 0, 0);
  return permits;
}

describe('requests to an upstream with a rate limit', () => {
  it('require a permit after the first answer with a limit', () => {
    const permits = new RequestPermits(4, 0);
    expect(permits.maySend(upstream, 0)).toBe(true);
    permits.noteAnswer(upstream, 2, 0, 10);
    expect(permits.maySend(upstream, 10)).toBe(false);
    permits.applyGrant({ limits: [], permits: new Map([[upstream, 1]]) }, 20, 20);
    expect(permits.maySend(upstream, 30)).toBe(true);
    permits.noteSent(upstream, 30);
    expect(permits.maySend(upstream, 40)).toBe(false);
  });

  it('require a permit if the limit is known only from control', () => {
    const permits = new RequestPermits(4, 0);
    const limits = [{ upstream, requestsPerSecond: 2, age: 100 }];
    permits.applyGrant({ limits, permits: new Map() }, 200, 200);
    expect(permits.maySend(upstream, 210)).toBe(false);
    permits.applyGrant(
      { limits: [{ upstream, requestsPerSecond: undefined, age: 5 }], permits: new Map() },
      300,
      300,
    );
    expect(permits.maySend(upstream, 310)).toBe(true);
  });

  it('report each expired permit as returned once', () => {
    const permits = createPermitsWithLimit();
    permits.applyGrant({ limits: [], permits: new Map([[upstream, 2]]) }, 100, 100);
    permits.noteSent(upstream, 200);
    expect(permits.maySend(upstream, 2000)).toBe(false);
    expect(permits.takeReport(2000).returned).toEqual(new Map([[upstream, 1]]));
    expect(permits.takeReport(2010).returned).toEqual(new Map());
  });

  it('are counted in the report while the upstream has a limit', () => {
    const permits = createPermitsWithLimit();
    permits.noteWanted(upstream);
    permits.noteWanted(upstream);
    permits.noteWanted('i-without-limit');
    const { limits, wanted } = permits.takeReport(100);
    expect(wanted).toEqual(new Map([[upstream, 2]]));
    expect(limits).toEqual([{ upstream, requestsPerSecond: 2, age: 100 }]);
    expect(permits.takeReport(200).wanted).toEqual(new Map());
  });

  it('use an equal share of the limit, one request at a time, while control does not answer', () => {
    const permits = createPermitsWithLimit();
    const sentAt: number[] = [];
    for (let now = 0; now <= 12_000; now += 50) {
      if (permits.maySend(upstream, now)) {
        sentAt.push(now);
        permits.noteSent(upstream, now);
      }
    }
    expect(sentAt).toEqual([4000, 6000, 8000, 10_000, 12_000]);
  });

  // Guards against information that looks newer with each exchange and then outlasts the answer that ends a limit.
  it('do not make the limit look newer by being exchanged with control', () => {
    const permits = createPermitsWithLimit();
    const { limits, reportedAt } = permits.takeReport(1000);
    permits.applyGrant({ limits, permits: new Map() }, reportedAt, 1900);
    expect(permits.takeReport(2000).limits).toEqual([
      { upstream, requestsPerSecond: 2, age: 2000 },
    ]);
    permits.noteAnswer(upstream, undefined, 500, 2000);
    expect(permits.maySend(upstream, 2000)).toBe(true);
  });
});
