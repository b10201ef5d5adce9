import { describe, expect, it } from 'vitest';

import { createGroupView, createMembers, planGroups } from './fixtures.js';

/** Plans with three groups of four engines and two groups of two, all open. */
function planWithDemand(demand: ReadonlyMap<string, number>) {
  const groups = [
    createGroupView('large/1', ['a', 'b', 'c', 'd']),
    createGroupView('large/2', ['e', 'f', 'g', 'h']),
    createGroupView('large/3', ['i', 'j', 'k', 'l']),
    createGroupView('small/4', ['m', 'n']),
    createGroupView('small/5', ['o', 'p']),
  ];
  const engines = groups.flatMap((view) => createMembers(view, 'd0'));
  return planGroups(groups, engines, demand, { nextNumber: 6 });
}

describe('moving engines from one model to another', () => {
  /**
   * Guards against this failure: callers of one model are refused while groups of another are idle. Both models had the same declared
   * share, but one had four times the demand, and lost groups were replaced according to the declared shares.
   */
  it('drains a group of the model that can spare it', () => {
    const { advance } = planWithDemand(
      new Map([
        ['large', 8],
        ['small', 60],
      ]),
    );
    expect(advance).toMatchObject([{ name: 'large/1', phase: 'draining' }]);
  });

  it('leaves the groups alone while the other model needs its own', () => {
    const { advance } = planWithDemand(
      new Map([
        ['large', 40],
        ['small', 60],
      ]),
    );
    expect(advance).toEqual([]);
  });

  it('leaves the groups alone while the demand is met', () => {
    const { advance } = planWithDemand(
      new Map([
        ['large', 8],
        ['small', 10],
      ]),
    );
    expect(advance).toEqual([]);
  });
});
