import { describe, expect, it } from 'vitest';

import {
  formatSegmentSubject,
  listQuarantined,
  parseSubject,
  type CrashSuspect,
} from '../../src/routing/index.js';

const bad = formatSegmentSubject('engines', 'bad');
const worse = formatSegmentSubject('engines', 'worse');
const shared = formatSegmentSubject('engines', 'shared');

/** Suspects that were in flight at the crashes of the given upstreams. */
function findBlamed(crashes: Readonly<Record<string, string>>): readonly string[] {
  const suspects = Object.entries(crashes).map(([request, upstreams]): [string, CrashSuspect] => {
    return [request, { request, upstreams: upstreams.split(' '), changedAt: 0 }];
  });
  return [...listQuarantined(new Map(suspects))];
}

// Guards against blaming segments and requests that were in flight only beside the one that crashes upstreams.
describe('the blame for crashes', () => {
  it('takes three crashes', () => {
    expect(findBlamed({ [bad]: 'a b' })).toEqual([]);
    expect(findBlamed({ [bad]: 'a b c' })).toEqual([bad]);
  });

  it('falls on the segment that more crashes have in common', () => {
    expect(findBlamed({ [shared]: 'a b c', [bad]: 'a b c d', request: 'b c d' })).toEqual([bad]);
  });

  it('falls on a request that is repeated rather than on its segments, until another request shows otherwise', () => {
    expect(findBlamed({ [bad]: 'a b c', request: 'a b c' })).toEqual(['request']);
    expect(findBlamed({ [bad]: 'a b c d', request: 'a b c' })).toEqual([bad]);
  });

  it('falls on both of two segments that crash upstreams independently', () => {
    expect(findBlamed({ [bad]: 'a b c d e', [worse]: 'd e f g h', [shared]: 'a d f g' })).toEqual([
      bad,
      worse,
    ]);
  });

  it('falls on both of two segments that cannot be told apart', () => {
    expect(findBlamed({ [bad]: 'a b c', [shared]: 'a b c' })).toEqual([bad, shared]);
  });
});

describe('keys of subjects', () => {
  it('tell services, segments and requests apart, whatever their names contain', () => {
    const key = formatSegmentSubject('a/b', 'c/d');
    expect(parseSubject(key)).toEqual({ type: 'segment', service: 'a/b', segment: 'c/d' });
    expect(parseSubject('0a1b')).toEqual({ type: 'request', digest: '0a1b' });
    expect(formatSegmentSubject('a', 'x')).not.toBe(formatSegmentSubject('b', 'x'));
  });

  it('have a bounded length', () => {
    expect(formatSegmentSubject('a', 'x'.repeat(16_000)).length).toBeLessThan(100);
  });
});
