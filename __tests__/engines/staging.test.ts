import { describe, expect, it } from 'vitest';

import { createGroupView, createMembers, planGroups, type TestEngine } from './fixtures.js';

/** Six engines in open groups whose hosts lack the other model, and as many that came empty as are said. */
function planLoads(empty: number, loadsAllowed: number): readonly string[] {
  const groups = [1, 2, 3].map((number) =>
    createGroupView(`small/${number}`, [`s${number}a`, `s${number}b`]),
  );
  const serving = groups
    .flatMap((view) => createMembers(view, 'd0'))
    .map((engine): TestEngine => ({ ...engine, staged: 'small' }));
  const idle = Array.from({ length: empty }, (_, index): TestEngine => {
    return { host: `e${index}`, domain: 'd1', lastModel: 'none', staged: 'none' };
  });
  const demand = new Map([
    ['large', 40],
    ['small', 40],
  ]);
  const { stage } = planGroups(groups, [...serving, ...idle], demand, { loadsAllowed });
  return stage.map(({ host }) => host);
}

describe('loads from the weight store', () => {
  /**
   * Symptom: engines that came empty stand idle for 23 s, though a load takes 16 s. Hosts that served had ordered the weights of the
   * other model a moment before, and the store gives six loads at full speed.
   */
  it('go to empty engines first, and leave room for the next that come', () => {
    expect(planLoads(0, 6)).toHaveLength(1);
    expect(planLoads(2, 6).filter((host) => host.startsWith('s'))).toEqual([]);
    expect(planLoads(2, 6).toSorted()).toEqual(['e0', 'e1']);
    expect(planLoads(3, 2)).toEqual(['e0', 'e1']);
  });

  it('go to hosts that serve only while the store is quiet', () => {
    expect(planLoads(0, 5)).toEqual([]);
  });
});
