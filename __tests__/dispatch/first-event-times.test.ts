import { describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import { FirstEventTimes, groupResponsiveness } from '../../src/dispatch/index.js';

const slots = 34;

/** 20 ms, 40 ms more with all slots taken, and 18 ms for a thousand tokens. */
function measure(requests: number, tokens: number): number {
  return 20 + 40 * (requests / slots) + 0.018 * tokens;
}

function learn(times: FirstEventTimes, from: number, factor = 1): number {
  const random = createRandomSource(1);
  let now = from;
  for (let count = 0; count < 200; count += 1) {
    const requests = 1 + random.integerBelow(slots);
    const tokens = 100 + random.integerBelow(4000);
    now += 20;
    times.noteFirstEvent('a', { requests, slots, tokens }, factor * measure(requests, tokens), now);
  }
  return now;
}

describe('the expected time to the first event', () => {
  // Guards against a bound that comes from a guess instead of what the upstream does.
  it('is unknown before three responses', () => {
    const times = new FirstEventTimes(groupResponsiveness);
    const load = { requests: 1, slots, tokens: 100 };
    times.noteFirstEvent('a', load, 50, 0);
    times.noteFirstEvent('a', load, 50, 0);
    expect(times.expect('a', load, 0)).toBeUndefined();
    expect(times.findBound('a', load, 10, 0)).toBeUndefined();
    times.noteFirstEvent('a', load, 50, 0);
    expect(times.expect('a', load, 0)).toBeGreaterThan(40);
  });

  // Guards against a long prompt that is expected to begin as early as a short one, and a full group as early as an empty one.
  it('follows the load and the tokens to read', () => {
    const times = new FirstEventTimes(groupResponsiveness);
    const now = learn(times, 0);
    for (const [requests, tokens] of [
      [1, 100],
      [34, 100],
      [10, 4000],
    ] as const) {
      const expected = times.expect('a', { requests, slots, tokens }, now) ?? 0;
      expect(Math.abs(expected - measure(requests, tokens))).toBeLessThan(10);
    }
  });

  // Guards against a bound that allows more than one that meets the objective, or less.
  it('is the budget at the bound', () => {
    const times = new FirstEventTimes(groupResponsiveness);
    const now = learn(times, 0);
    times.noteDuration(1700);
    for (const budget of [70, 90, 200]) {
      const requests = times.findBound('a', { slots, tokens: 1500 }, budget, now) ?? 0;
      expect(times.expect('a', { requests, slots, tokens: 1500 }, now)).toBeCloseTo(budget, 3);
    }
    expect(times.findBound('a', { slots, tokens: 1500 }, 20, now)).toBe(0);
  });

  // Guards against an upstream that turns slow and is believed to be fast, and one that is believed to be slow long after it was.
  it('follows a start that turns slow, and forgets it', () => {
    const times = new FirstEventTimes(groupResponsiveness);
    let now = learn(times, 0);
    const load = { requests: 10, slots, tokens: 500 };
    for (let count = 0; count < 5; count += 1) {
      now += 100;
      times.noteFirstEvent('b', load, 5 * measure(10, 500), now);
    }
    expect(times.readFactor('b', now)).toBeGreaterThan(2.5);
    expect(times.readFactor('a', now)).toBeLessThan(1.2);
    expect(times.readFactor('b', now + 8000)).toBeLessThan(1.1);
  });
});
