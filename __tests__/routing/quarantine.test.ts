import { describe, expect, it } from 'vitest';

import {
  formatSegmentSubject,
  findBlamed,
  parseSubject,
  type CrashSuspect,
} from '../../src/routing/index.js';

const bad = formatSegmentSubject('engines', 'bad');
const worse = formatSegmentSubject('engines', 'worse');
const shared = formatSegmentSubject('engines', 'shared');

/** Suspects that were in flight at the crashes of the given upstreams. */
function blameFor(crashes: Readonly<Record<string, string>>): readonly string[] {
  const suspects = Object.entries(crashes).map(([request, upstreams]): [string, CrashSuspect] => {
    return [request, { request, upstreams: upstreams.split(' '), changedAt: 0 }];
  });
  return [...findBlamed(new Map(suspects))];
}

// Guards against sparing a segment that crashes upstreams, and against blaming requests that were in flight only beside it.
describe('the blame for crashes', () => {
  it('takes three crashes', () => {
    expect(blameFor({ [bad]: 'a b' })).toEqual([]);
    expect(blameFor({ [bad]: 'a b c' })).toEqual([bad]);
  });

  it('falls on segments rather than on the requests that they came with', () => {
    expect(blameFor({ [bad]: 'a b c d', request: 'b c d' })).toEqual([bad]);
  });

  // Guards against letting a guilty segment through because another one, which may be harmless, was in flight at more crashes.
  it('falls on each segment with three crashes, whatever other segments were in flight', () => {
    expect(blameFor({ [shared]: 'a b c d e', [bad]: 'a b c', [worse]: 'c d e' })).toEqual([
      shared,
      bad,
      worse,
    ]);
  });

  it('falls on a request that is repeated rather than on its segments, until another request shows otherwise', () => {
    expect(blameFor({ [bad]: 'a b c', request: 'a b c' })).toEqual(['request']);
    expect(blameFor({ [bad]: 'a b c d', request: 'a b c' })).toEqual([bad]);
  });

  it('falls on both of two segments that crash upstreams independently', () => {
    expect(blameFor({ [bad]: 'a b c d e', [worse]: 'd e f g h', [shared]: 'a d' })).toEqual([
      bad,
      worse,
    ]);
  });

  // Guards against releasing a subject that crashes upstreams because another one is in flight at more crashes meanwhile.
  it('stays on a quarantined subject whatever else is in flight at its crashes', () => {
    const suspects = new Map<string, CrashSuspect>([
      [
        'request',
        { request: 'request', upstreams: ['a', 'b', 'c'], changedAt: 0, quarantinedAt: 0 },
      ],
      [bad, { request: bad, upstreams: ['a', 'b', 'c', 'd'], changedAt: 0 }],
    ]);
    expect(findBlamed(suspects)).toEqual(new Set([bad, 'request']));
  });

  it('falls on both of two segments that cannot be told apart', () => {
    expect(blameFor({ [bad]: 'a b c', [shared]: 'a b c' })).toEqual([bad, shared]);
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
