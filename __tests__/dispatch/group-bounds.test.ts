import { describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import { GroupBounds, TargetLoads, UpstreamTimes } from '../../src/dispatch/index.js';
import { createTarget } from '../direct/targets.js';

const target = createTarget('small/1');
const slots = 24;
const request = { kind: 'small', tokens: 500, objective: 250, waited: 0, roundTrip: 0 };

function createBounds(seed = 1) {
  const loads = new TargetLoads();
  const times = new UpstreamTimes(loads);
  const bounds = new GroupBounds({ loads, times, random: createRandomSource(seed) });
  const send = (now: number) => {
    loads.noteSent(target);
    return times.noteSent(target, request, now);
  };
  const report = (running: number, waiting: number, now: number): void => {
    loads.noteAnswered(target);
    loads.noteLoad(target, { running, waiting, slots }, now);
  };
  /** Sends a request and has it begin after `time`; it ends if `isEnded`. */
  const serve = (running: number, time: number, now: number): void => {
    const dispatch = send(now - time);
    report(running, 0, now);
    dispatch.noteFirstEvent(now);
    dispatch.noteComplete(now);
    dispatch.release();
    loads.noteDone(target, true);
  };
  return { loads, times, bounds, send, report, serve };
}

describe('the requests that a group may have', () => {
  // Guards against a burst of requests to a group that nothing is known of.
  it('are one before its first response, and then as many as it has slots', () => {
    const { loads, bounds, send, report } = createBounds();
    expect(bounds.hasRoom(target, request, 1, 0)).toBe(true);
    send(0);
    expect(bounds.hasRoom(target, request, 1, 0)).toBe(false);
    report(1, 0, 50);
    for (let sent = 1; sent < slots; sent += 1) {
      expect(bounds.hasRoom(target, request, 1, 60)).toBe(true);
      loads.noteSent(target);
    }
    expect(bounds.hasRoom(target, request, 1, 60)).toBe(false);
  });

  // Guards against a group that overfills because each of eight gateways takes all the places that were free at its last report.
  it('grow by the places that are free, over all gateways together', () => {
    const counts = Array.from({ length: 400 }, (_, seed) => {
      const { loads, bounds, send, report } = createBounds(seed);
      send(0);
      send(0);
      report(16, 0, 50);
      let taken = 0;
      while (bounds.hasRoom(target, request, 8, 60)) {
        loads.noteSent(target);
        taken += 1;
      }
      return taken;
    });
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
    // 8 free places, of which this gateway with 2 of 16 requests takes an eighth.
    expect(mean).toBeGreaterThan(0.8);
    expect(mean).toBeLessThan(1.2);
  });

  // Guards against an excess that stays because each gateway replaces every request that ends.
  it('shrink while there are more than the bound', () => {
    const { loads, bounds, send, report } = createBounds();
    for (let sent = 0; sent < 6; sent += 1) {
      send(0);
    }
    report(slots, 24, 50);
    loads.noteDone(target, true);
    expect(bounds.hasRoom(target, request, 8, 60)).toBe(false);
  });

  // Guards against a group that reads its prompts later than the objective allows and still gets as many requests as it has slots.
  it('are fewer than its slots if it begins too late with all of them', () => {
    const { bounds, serve } = createBounds();
    for (let step = 0; step < 40; step += 1) {
      const running = 1 + (step % slots);
      serve(running, 40 + 12 * running, step * 50);
    }
    const bound = bounds.findBound(target, request, 2000);
    expect(bound).toBeGreaterThan(slots * 0.35);
    expect(bound).toBeLessThan(slots * 0.7);
    expect(bounds.findBound(target, { ...request, objective: 1000 }, 2000)).toBeGreaterThan(slots);
    expect(bounds.findBound(target, { ...request, objective: undefined }, 2000)).toBe(slots);
  });

  // Guards against callers that are refused while a group stands idle that is slower than their objective.
  it('are part of its slots however slow it is', () => {
    const { bounds, serve } = createBounds();
    for (let step = 0; step < 40; step += 1) {
      serve(1 + (step % slots), 900, step * 50);
    }
    expect(bounds.findBound(target, request, 2000)).toBeCloseTo(slots * 0.4, 5);
    // No caller may be refused while half of the slots are free.
    const waiting = { ...request, waited: 200 };
    expect(bounds.findBound(target, waiting, 2000)).toBeGreaterThan(slots / 2);
  });

  // Guards against requests that pile up at a group that has stopped: without first events, nothing new is learned of it.
  it('are few while one has waited long for its first event', () => {
    const { bounds, send, serve } = createBounds();
    for (let step = 0; step < 40; step += 1) {
      serve(1 + (step % slots), 50, step * 50);
    }
    expect(bounds.findBound(target, request, 2000)).toBeGreaterThanOrEqual(slots);
    send(2000);
    expect(bounds.findBound(target, request, 2200)).toBeCloseTo(slots * 0.4, 5);
  });

  // Guards against late requests that take the last places of a group from those that can be in time.
  it('are fewer if they are late', () => {
    const { bounds } = createBounds();
    const late = bounds.findBound(target, { ...request, waited: 300 }, 0);
    expect(late).toBeLessThan(bounds.findBound(target, request, 0));
  });

  // Guards against a gateway that never asks again after a group was full at its last report.
  it('are one of a gateway that has none there, after a while', () => {
    const { bounds, loads } = createBounds();
    loads.noteAnswered(target);
    loads.noteLoad(target, { running: slots, waiting: 9, slots }, 0);
    expect(bounds.hasRoom(target, request, 8, 200)).toBe(false);
    expect(bounds.hasRoom(target, request, 8, 400)).toBe(true);
  });
});
