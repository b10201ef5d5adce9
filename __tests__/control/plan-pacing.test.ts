import { describe, expect, it } from 'vitest';

import { PlanPacing } from '../../src/control/routing/index.js';

/** Planning time within one second in which a plan is requested continuously. */
function planForOneSecond(planDuration: number): number {
  const pacing = new PlanPacing();
  let now = 0;
  let spent = 0;
  while (now < 1000) {
    now += pacing.findDelay(now);
    pacing.recordPlan(now, now + planDuration);
    now += planDuration;
    spent += planDuration;
  }
  return spent;
}

describe('plans of a leader', () => {
  // Guards against a leader change although no host failed. After startup, hundreds of engines report at once, each report requests a
  // plan, and each plan examines all engines. The leader made the plans one after another, and its heartbeats came too late.
  it.each([0.2, 2, 20])('leave it time for other work where one takes %s ms', (duration) => {
    expect(planForOneSecond(duration)).toBeLessThanOrEqual(200 + duration);
  });

  it('are made at once where the last one was long ago', () => {
    const pacing = new PlanPacing();
    expect(pacing.findDelay(0)).toBe(0);
    pacing.recordPlan(0, 2);
    expect(pacing.findDelay(100)).toBe(0);
  });
});
