// Guards against a late request whose log line does not tell where its time went.
import { describe, expect, it } from 'vitest';

import { isInTime, RequestTimer } from '../../src/gateway/direct/request-times.js';

const route = { objective: 300, longestPause: 200 };

describe('the times of a request', () => {
  it('are those of its first attempt, and its longest pause is across attempts', () => {
    const timer = new RequestTimer(1000);
    timer.noteAssigned(1020);
    timer.noteWritten(1025);
    timer.noteForwarded(1140);
    timer.noteForwarded(1170);
    timer.noteAssigned(1200);
    timer.noteWritten(1201);
    timer.noteForwarded(1420);
    timer.noteForwarded(1450);
    expect(timer.read()).toEqual({ assigned: 20, written: 25, firstByte: 140, longestPause: 250 });
  });

  it('meet the objectives only with the first byte and all pauses in time', () => {
    const times = { assigned: 1, written: 2, firstByte: 300, longestPause: 200 };
    expect(isInTime(times, route)).toBe(true);
    expect(isInTime({ ...times, firstByte: 301 }, route)).toBe(false);
    expect(isInTime({ ...times, longestPause: 201 }, route)).toBe(false);
    expect(isInTime({ ...times, firstByte: undefined }, route)).toBe(false);
    expect(isInTime({ ...times, longestPause: 5000 }, {})).toBe(true);
  });
});
