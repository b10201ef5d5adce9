import { describe, expect, it } from 'vitest';

import { createGroupView, createMembers, planGroups } from './fixtures.js';

/** Three groups of four and two of two, all open. */
function plan(demand: ReadonlyMap<string, number>) {
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

describe('engines that go from one model to another', () => {
  /**
   * Symptom: callers of one model are refused while groups of another stand idle. The declaration gave both the same share, one
   * is asked for four times as often, and groups that are lost are made good as declared.
   */
  it('drains a group of the model that can spare it', () => {
    const { advance } = plan(
      new Map([
        ['large', 8],
        ['small', 60],
      ]),
    );
    expect(advance).toMatchObject([{ name: 'large/1', phase: 'draining' }]);
  });

  it('leaves the groups alone while the other model needs its own', () => {
    const { advance } = plan(
      new Map([
        ['large', 40],
        ['small', 60],
      ]),
    );
    expect(advance).toEqual([]);
  });

  it('leaves the groups alone while the demand is met', () => {
    const { advance } = plan(
      new Map([
        ['large', 8],
        ['small', 10],
      ]),
    );
    expect(advance).toEqual([]);
  });
});
