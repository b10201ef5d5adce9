import { describe, expect, it } from 'vitest';

import { PlanPacing } from '../../src/control/routing/index.js';

/** Time spent on plans within a second in which one is asked for all the time. */
function planForOneSecond(planDuration: number): number {
  const pacing = new PlanPacing();
  let now = 0;
  let spent = 0;
  while (now < 1000) {
    now += pacing.findRest(now);
    pacing.notePlan(now, now + planDuration);
    now += planDuration;
    spent += planDuration;
  }
  return spent;
}

describe('plans of a leader', () => {
  // Symptom: control changes its leader while no host is lost. Sequence: hundreds of engines report at once after a start; each report
  // asks for a plan, and a plan looks at all engines. Cause: the leader made them one after the other, and its heartbeats came too late.
  it.each([0.2, 2, 20])('leave it time for other work where one takes %s ms', (duration) => {
    expect(planForOneSecond(duration)).toBeLessThanOrEqual(200 + duration);
  });

  it('are made at once where the last one was long ago', () => {
    const pacing = new PlanPacing();
    expect(pacing.findRest(0)).toBe(0);
    pacing.notePlan(0, 2);
    expect(pacing.findRest(100)).toBe(0);
  });
});
