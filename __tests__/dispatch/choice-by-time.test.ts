import { describe, expect, it } from 'vitest';

import {
  chooseByTime,
  DomainDelays,
  UpstreamFailures,
  type TimedCandidate,
} from '../../src/dispatch/index.js';
import { createTarget } from '../direct/targets.js';

function describeCandidate(key: string, changes: Partial<TimedCandidate>): TimedCandidate {
  const figures = { expected: 50, failureShare: 0, utilization: 0.5, draw: 0.5 };
  return { target: createTarget(key), isInOwnDomain: false, ...figures, ...changes };
}

function choose(
  candidates: readonly TimedCandidate[],
  objective: number | undefined = 300,
  waited = 0,
): string | undefined {
  return chooseByTime(candidates, { objective, waited })?.key;
}

describe('the upstream with the least expected time', () => {
  const own = describeCandidate('own', { isInOwnDomain: true, expected: 100 });
  const other = describeCandidate('other', { expected: 60 });

  // Guards against bytes that cross domains for a few milliseconds.
  it('is in the own domain while that meets the objective', () => {
    expect(choose([other, own])).toBe('own');
    expect(choose([other, { ...own, expected: 200 }])).toBe('other');
  });

  // Guards against a request that has used up its time in the queue, and goes to an upstream that would serve it in time only if it were new.
  it('takes the time that the request has waited into account', () => {
    expect(choose([other, own], 300, 100)).toBe('other');
  });

  // Guards against late requests, and those without an objective, that cross domains for nothing.
  it('is in the own domain if there is nothing to gain', () => {
    expect(choose([other, own], 300, 400)).toBe('own');
    expect(choose([other, own], undefined)).toBe('own');
    expect(choose([])).toBeUndefined();
  });

  // Guards against an upstream that looks fast because it fails.
  it('counts failures beyond those of the others', () => {
    const failing = { ...own, failureShare: 0.4 };
    expect(choose([other, failing])).toBe('other');
    expect(choose([{ ...other, failureShare: 0.4 }, failing])).toBe('own');
  });

  // Guards against one upstream that gets all requests before anything has been learned.
  it('is the least loaded of equals', () => {
    const idle = { ...own, target: createTarget('idle'), utilization: 0.1 };
    expect(choose([own, idle])).toBe('idle');
  });
});

describe('the delays between domains', () => {
  const declared = [
    { between: ['a', 'b'] as const, delay: 4.5 },
    { between: ['c', 'a'] as const, delay: 3 },
    { between: ['b', 'c'] as const, delay: 1 },
  ];

  // Guards against a delay that counts in one direction only.
  it('count there and back, whichever domain is named first', () => {
    const delays = new DomainDelays('a', declared);
    expect(['a', 'b', 'c', undefined].map((each) => delays.findRoundTrip(each))).toEqual([
      0, 9, 6, 0,
    ]);
    expect(delays.isOwn('a')).toBe(true);
    expect(delays.isOwn(undefined)).toBe(false);
  });

  // Guards against a change of the choice where domains are close, nothing is declared, or the own domain is unknown.
  it('matter from two milliseconds on', () => {
    expect(new DomainDelays('a', declared).isSpread).toBe(true);
    expect(new DomainDelays('a', [{ between: ['a', 'b'], delay: 1.4 }]).isSpread).toBe(false);
    expect(new DomainDelays('a').isSpread).toBe(false);
    expect(new DomainDelays(undefined, declared).isSpread).toBe(false);
  });
});

describe('the share of failures of an upstream', () => {
  // Guards against an upstream that is avoided for a single failure, or for good.
  it('needs several failures and is forgotten', () => {
    const failures = new UpstreamFailures();
    expect(failures.findShare('a', 0)).toBe(0);
    failures.note('a', true, 0);
    expect(failures.findShare('a', 0)).toBeLessThan(0.3);
    for (let count = 0; count < 9; count += 1) {
      failures.note('a', true, 0);
    }
    expect(failures.findShare('a', 0)).toBeGreaterThan(0.7);
    expect(failures.findShare('a', 30_000)).toBeLessThan(0.05);
  });
});
