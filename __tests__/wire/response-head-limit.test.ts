import { describe, expect, it } from 'vitest';

import { ResponseHeadLimit } from '../../src/wire/response-head-limit.js';

/** Reads 10 bytes at each of the times and returns whether each read exceeds the limit. */
function readAt(...times: readonly number[]): readonly boolean[] {
  const limit = new ResponseHeadLimit();
  return times.map((now) => limit.noteRead(10, now));
}

// Guards against heads that go on for ever, and against giving up a sound one of which a packet was lost.
describe('the limit on the head of a response', () => {
  it('is exceeded by its size', () => {
    const limit = new ResponseHeadLimit();
    expect(limit.noteRead(128 * 1024, 0)).toBe(false);
    expect(limit.noteRead(1, 0)).toBe(true);
  });

  it('is exceeded by reads over more than a second', () => {
    expect(readAt(0, 600, 1001, 1002)).toEqual([false, false, false, true]);
  });

  it('is kept by a head whose rest comes late', () => {
    expect(readAt(0, 5000)).toEqual([false, false]);
  });

  it('is kept by an upstream that takes its time after an interim response', () => {
    const limit = new ResponseHeadLimit();
    limit.noteRead(10, 0);
    limit.noteRead(10, 3000);
    expect(limit.noteInterimResponse()).toBe(false);
    expect(limit.noteRead(10, 6000)).toBe(false);
    expect(limit.noteRead(10, 6001)).toBe(false);
  });

  it('is exceeded by many interim responses', () => {
    const limit = new ResponseHeadLimit();
    const results = Array.from({ length: 33 }, () => limit.noteInterimResponse());
    expect(results.indexOf(true)).toBe(32);
  });
});
