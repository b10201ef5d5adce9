import { describe, expect, it } from 'vitest';

import { PermitAllocator, type PermitRequest } from '../../src/control/routing/index.js';

const upstream = 'i-1';

function requestPermits(
  allocator: PermitAllocator,
  gateway: string,
  now: number,
  { wanted = 1, returned = 0, requestsPerSecond }: RequestOptions = {},
): number {
  const request: PermitRequest = {
    gateway,
    limits: requestsPerSecond === undefined ? [] : [{ upstream, requestsPerSecond, age: 0 }],
    wanted: new Map([[upstream, wanted]]),
    returned: new Map([[upstream, returned]]),
  };
  return allocator.allocate(request, now).permits.get(upstream) ?? 0;
}

interface RequestOptions {
  readonly wanted?: number;
  readonly returned?: number;
  readonly requestsPerSecond?: number;
}

describe('permits for an upstream with a rate limit', () => {
  it('are granted at the rate of the limit across gateways, starting from none', () => {
    const allocator = new PermitAllocator();
    expect(requestPermits(allocator, 'a', 0, { requestsPerSecond: 1 })).toBe(0);
    let granted = 0;
    for (let now = 125; now <= 20_000; now += 125) {
      granted += requestPermits(allocator, now % 250 === 0 ? 'a' : 'b', now);
    }
    expect(granted).toBeGreaterThanOrEqual(19);
    expect(granted).toBeLessThanOrEqual(20);
  });

  it('are granted to the longest-waiting gateway that still requests them', () => {
    const allocator = new PermitAllocator();
    requestPermits(allocator, 'a', 0, { requestsPerSecond: 2 });
    requestPermits(allocator, 'b', 10);
    expect([requestPermits(allocator, 'a', 500), requestPermits(allocator, 'b', 510)]).toEqual([
      1, 0,
    ]);
    expect([requestPermits(allocator, 'a', 1005), requestPermits(allocator, 'b', 1010)]).toEqual([
      0, 1,
    ]);
    // Gateway b no longer requests permits.
    expect([requestPermits(allocator, 'a', 1600), requestPermits(allocator, 'a', 2100)]).toEqual([
      1, 1,
    ]);
  });

  it('do not accumulate beyond the bucket capacity while none are requested', () => {
    const allocator = new PermitAllocator();
    requestPermits(allocator, 'a', 0, { requestsPerSecond: 4 });
    expect(requestPermits(allocator, 'a', 60_000, { wanted: 50 })).toBe(2);
    expect(requestPermits(allocator, 'a', 60_001, { wanted: 50 })).toBe(0);
  });

  it('are granted again after they are returned unused, at a bounded rate', () => {
    const allocator = new PermitAllocator();
    requestPermits(allocator, 'a', 0, { requestsPerSecond: 2 });
    expect(requestPermits(allocator, 'a', 1000, { wanted: 2 })).toBe(2);
    expect(requestPermits(allocator, 'a', 1001, { wanted: 2, returned: 1 })).toBe(1);
    expect(requestPermits(allocator, 'a', 1002, { wanted: 2, returned: 5 })).toBe(0);
  });

  it('are not required after the limit has ended, even if a gateway reports an older limit', () => {
    const allocator = new PermitAllocator();
    requestPermits(allocator, 'a', 0, { requestsPerSecond: 2 });
    const ended = [{ upstream, requestsPerSecond: undefined, age: 10 }];
    const older = [{ upstream, requestsPerSecond: 2, age: 500 }];
    const nothing = { wanted: new Map(), returned: new Map() };
    allocator.allocate({ gateway: 'a', limits: ended, ...nothing }, 1000);
    const { limits } = allocator.allocate({ gateway: 'b', limits: older, ...nothing }, 1010);
    expect(limits).toEqual([{ upstream, requestsPerSecond: undefined, age: 20 }]);
  });
});
