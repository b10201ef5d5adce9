import { describe, expect, it } from 'vitest';

import { DemandMeter } from '../../src/gateway/direct/demand-meter.js';

/** Simulates requests at a constant rate, and measures each interval as the reporter does. */
function play(meter: DemandMeter, perInterval: number, intervals: number, from: number): number {
  let now = from;
  for (let interval = 0; interval < intervals; interval += 1) {
    for (let request = 0; request < perInterval; request += 1) {
      meter.noteArrival('small');
    }
    now += 500;
    meter.measure(now);
  }
  return now;
}

describe('demand of a gateway', () => {
  it('is rate times duration', () => {
    const meter = new DemandMeter(0);
    meter.noteServed('small', 800);
    const now = play(meter, 5, 40, 0);
    for (let request = 0; request < 5; request += 1) {
      meter.noteArrival('small');
    }
    expect(meter.measure(now + 500).get('small')).toBeCloseTo(8, 1);
  });

  /**
   * Guards against a model that is short of groups taking those of all others: its waiting requests were counted as in flight, so its
   * demand appeared to grow without bound.
   */
  it('does not grow while requests wait and none is served', () => {
    const meter = new DemandMeter(0);
    meter.noteServed('small', 800);
    const now = play(meter, 5, 40, 0);
    const before = meter.measure(now + 500).get('small') ?? 0;
    play(meter, 5, 40, now + 500);
    const after = meter.measure(now + 21_000).get('small') ?? 0;
    expect(after).toBeLessThanOrEqual(before * 1.3);
  });

  it('falls when no more requests arrive', () => {
    const meter = new DemandMeter(0);
    const now = play(meter, 5, 20, 0);
    play(meter, 0, 40, now);
    expect(meter.measure(now + 20_500).get('small')).toBeLessThan(0.1);
  });
});
