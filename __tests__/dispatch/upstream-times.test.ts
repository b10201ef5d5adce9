import { describe, expect, it } from 'vitest';

import { TargetLoads, UpstreamTimes } from '../../src/dispatch/index.js';
import { createTarget } from '../direct/targets.js';

const request = { kind: 'small', tokens: 0, roundTrip: 9 };

function createTimes() {
  const events: string[] = [];
  const times = new UpstreamTimes(new TargetLoads(), {
    noteFirstEvent: ({ key }, time) => events.push(`${key} ${time}`),
    noteSlow: ({ key }, isSlow) => events.push(`${key} ${isSlow ? 'slow' : 'usual'}`),
  });
  const serve = (key: string, time: number, now: number): void => {
    const dispatch = times.noteSent(createTarget(key), request, now - time);
    dispatch.noteFirstEvent(now);
    dispatch.noteComplete(now);
    dispatch.release();
  };
  return { times, events, serve };
}

describe('the times of upstreams', () => {
  // Guards against a slow upstream that nobody sees in the logs, and against a line for each of its responses.
  it('report once that an upstream turns slow, and once that it has recovered', () => {
    const { events, serve } = createTimes();
    for (let step = 0; step < 60; step += 1) {
      serve('a', 60, step * 100);
      serve('b', step >= 20 && step < 40 ? 1200 : 60, step * 100);
    }
    const changes = events.filter((event) => /slow|usual/.test(event));
    expect(changes).toEqual(['b slow', 'b usual']);
  });

  // Guards against a delay that counts twice: once in what was learned of the upstream, and once for the way there.
  it('exclude the way there and back', () => {
    const { times, serve } = createTimes();
    for (let step = 0; step < 20; step += 1) {
      serve('a', 60, step * 100);
    }
    const expected = times.expect(createTarget('a'), request, 1900) ?? 0;
    expect(expected).toBeGreaterThan(45);
    expect(expected).toBeLessThan(54);
  });

  // Guards against an upstream that is believed to be fast because its errors come early, and waits that never end because attempts broke off.
  it('learn nothing from attempts that failed or broke off', () => {
    const { times, events } = createTimes();
    for (let step = 0; step < 5; step += 1) {
      const dispatch = times.noteSent(createTarget('a'), request, step);
      dispatch.noteFailed(step + 1);
      dispatch.release();
      dispatch.noteFirstEvent(step + 2);
    }
    expect(events).toEqual([]);
    expect(times.expect(createTarget('a'), request, 10)).toBeUndefined();
    expect(times.findLongestWait(createTarget('a'), 1000)).toBe(0);
    expect(times.findFailureShare(createTarget('a'), 10)).toBeGreaterThan(0.5);
  });
});
