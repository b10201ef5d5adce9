import { describe, expect, it } from 'vitest';

import { ModelOutcomes } from '../../src/control/routing/index.js';

const report = new Map([['small', { inTime: 6, late: 1, refused: 3, priority: 1 }]]);

describe('outcomes of requests at the leader', () => {
  it('are summed over gateways, with the most urgent priority', () => {
    const outcomes = new ModelOutcomes();
    outcomes.recordReport(report, 0);
    const urgent = { inTime: 1, late: 0, refused: 0, priority: 0 };
    outcomes.recordReport(new Map([['small', urgent]]), 500);
    expect(outcomes.summarize(600)).toEqual(
      new Map([['small', { inTime: 7, late: 1, refused: 3, priority: 0 }]]),
    );
  });

  // Guards against engines that go to a model because of what a gateway reported before it was cut off.
  it('of a gateway that no longer reports count for 3 s', () => {
    const outcomes = new ModelOutcomes();
    outcomes.recordReport(report, 0);
    expect(outcomes.summarize(3000).get('small')?.refused).toBe(3);
    expect(outcomes.summarize(3001).size).toBe(0);
  });

  // Guards against a host that leads again and plans by reports of its earlier time as leader.
  it('are dropped when the leader changes', () => {
    const outcomes = new ModelOutcomes();
    outcomes.recordReport(report, 0);
    outcomes.clear();
    expect(outcomes.summarize(1).size).toBe(0);
  });
});
