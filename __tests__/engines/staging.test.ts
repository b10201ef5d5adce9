import { describe, expect, it } from 'vitest';

import { createGroupView, createMembers, planGroups, type TestEngine } from './fixtures.js';

/** Hosts with staging orders, given six engines in open groups whose hosts lack the other model and some idle engines without weights. */
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
   * Guards against this failure: engines that start without weights are idle for 23 s although a load takes 16 s. Serving hosts had just
   * begun to load the other model, and the weight store runs only six loads at full speed.
   */
  it('go to engines without weights first and leave a reserve for later ones', () => {
    expect(planLoads(0, 6)).toHaveLength(1);
    expect(planLoads(2, 6).filter((host) => host.startsWith('s'))).toEqual([]);
    expect(planLoads(2, 6).toSorted()).toEqual(['e0', 'e1']);
    expect(planLoads(3, 2)).toEqual(['e0', 'e1']);
  });

  it('go to serving hosts only if the reserve for idle hosts remains', () => {
    expect(planLoads(0, 5)).toEqual([]);
  });
});
