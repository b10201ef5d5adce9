import { describe, expect, it } from 'vitest';

import type { LossInput } from '../../src/engines/index.js';
import { createGroupView, createMembers, planGroups, type TestEngine } from './fixtures.js';

const noLosses: LossInput = { outcomes: new Map(), exchanges: [] };

/** Engines that returned after a loss: they were in no group since their start, and their hosts keep the weights of one model. */
function createReturned(count: number, staged: string): readonly TestEngine[] {
  return Array.from({ length: count }, (_, index) => {
    return { host: `${staged}-${index}`, domain: 'd1', lastModel: 'none', staged };
  });
}

/** Loads for idle hosts, with two groups of each model elsewhere. */
function planLoads(
  idle: readonly TestEngine[],
  demand: readonly [large: number, small: number],
  losses: LossInput | null = noLosses,
): readonly string[] {
  const groups = [
    createGroupView('large/1', ['l1', 'l2', 'l3', 'l4']),
    createGroupView('large/2', ['l5', 'l6', 'l7', 'l8']),
    createGroupView('small/3', ['s1', 's2']),
    createGroupView('small/4', ['s3', 's4']),
  ];
  const serving = groups.flatMap((view) => createMembers(view, 'd0'));
  const { stage } = planGroups(
    groups,
    [...serving, ...idle],
    new Map([
      ['large', demand[0]],
      ['small', demand[1]],
    ]),
    { loadsAllowed: 10, ...(losses === null ? {} : { losses }) },
  );
  return stage.filter(({ host }) => host.startsWith('large-')).map(({ model }) => model);
}

describe('idle engines that keep the weights of a model with enough groups', () => {
  /**
   * Guards against this failure: after the loss of a domain, 28 engines were idle with the weights of one model for the rest of the day
   * while the groups of the other one served half of its demand.
   */
  it('load those of the model that is short, as many as complete a group', () => {
    expect(planLoads(createReturned(3, 'large'), [10, 120])).toEqual(['small', 'small']);
  });

  // Guards against groups that are not mended because the last spare of their model was given up.
  it('keep one spare of their own model in the domain', () => {
    expect(planLoads(createReturned(2, 'large'), [10, 120])).toEqual([]);
  });

  // Guards against loads of many seconds for a shortage that is over before they end.
  it('stay as they are while no model is short', () => {
    expect(planLoads(createReturned(3, 'large'), [10, 10])).toEqual([]);
  });

  // Guards against a change for deployments that do not weigh losses.
  it('stay as they are where losses are not weighed', () => {
    expect(planLoads(createReturned(3, 'large'), [10, 120], null)).toEqual([]);
  });
});
