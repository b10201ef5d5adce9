import { describe, expect, it } from 'vitest';

import { OutcomeMeter } from '../../src/gateway/direct/outcome-meter.js';

const route = { objective: 250, longestPause: 200 };

function createTimes(firstByte: number) {
  return { assigned: 0, written: 0, firstByte, longestPause: 10 };
}

describe('outcomes of requests at a gateway', () => {
  // Guards against a model whose late or refused callers the leader takes for served ones.
  it('are counted by model and by how the request ended', () => {
    const meter = new OutcomeMeter();
    meter.noteEnded('small', { result: 'whole', times: createTimes(200) }, route, 1);
    meter.noteEnded('small', { result: 'whole', times: createTimes(251) }, route, 0);
    meter.noteEnded('small', { result: 'noCapacity', times: createTimes(1) }, route, 2);
    meter.noteEnded('large', { result: 'whole', times: createTimes(200) }, route, 2);
    expect(meter.take()).toEqual(
      new Map([
        ['small', { inTime: 1, late: 1, refused: 1, priority: 0 }],
        ['large', { inTime: 1, late: 0, refused: 0, priority: 2 }],
      ]),
    );
  });

  // Guards against losses that count again in each report.
  it('are taken once', () => {
    const meter = new OutcomeMeter();
    meter.noteEnded('small', { result: 'whole', times: createTimes(200) }, route, 1);
    meter.take();
    expect(meter.take().size).toBe(0);
  });

  it('do not include requests without a model, or whose callers left', () => {
    const meter = new OutcomeMeter();
    meter.noteEnded(undefined, { result: 'whole', times: createTimes(200) }, route, 1);
    meter.noteEnded('small', { result: 'left', times: createTimes(200) }, route, 1);
    expect(meter.take().size).toBe(0);
  });
});
