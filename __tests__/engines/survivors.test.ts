import { describe, expect, it } from 'vitest';

import type { EngineView } from '../../src/engines/index.js';
import {
  createEngineView,
  createGroupView,
  createMembers,
  planGroups,
  type TestEngine,
} from './fixtures.js';

/** Demand for both models: the large one needs two groups and a reserve, the small one four and a reserve. */
const demand = new Map([
  ['large', 25],
  ['small', 52],
]);

function createSmallGroups(domain: string, count: number) {
  return Array.from({ length: count }, (_, index) => {
    const hosts = [`${domain}-s${index}a`, `${domain}-s${index}b`];
    return createGroupView(`small/${index + (domain === 'd0' ? 10 : 20)}`, hosts);
  });
}

const survivors: readonly TestEngine[] = ['x', 'y', 'z'].map((host) => {
  return { host, domain: 'd0', lastModel: 'large', staged: 'small' };
});

describe('the remaining engines of a lost group', () => {
  const large = [
    createGroupView('large/1', ['d1-a', 'd1-b', 'd1-c', 'd1-d']),
    createGroupView('large/2', ['d2-a', 'd2-b', 'd2-c', 'd2-d']),
  ];
  const here = createSmallGroups('d0', 3);
  const there = createSmallGroups('d1', 4);
  const groups = [...large, ...here, ...there];
  const engines = [
    ...survivors,
    ...large.flatMap((view, index) => createMembers(view, `d${index + 1}`)),
    ...here.flatMap((view) => createMembers(view, 'd0')),
    ...there.flatMap((view) => createMembers(view, 'd1')),
  ];

  /**
   * Guards against this failure: callers of the large model wait for seconds while the small model has a third more groups than it needs.
   * Each time a large group lost a member, two of the three survivors formed another small group. The large model got a group back only
   * when it already lacked capacity, and only while no other group was being formed.
   */
  it('are completed with engines of a model that has more groups than it needs', () => {
    const { place, advance } = planGroups(groups, engines, demand);
    expect(place).toEqual([]);
    expect(advance).toMatchObject([
      { phase: 'draining', reason: 'its engines are needed for large' },
    ]);
    expect(here.map(({ group }) => group.name)).toContain(advance[0]?.name);
  });

  it('cause no drain while the demand is unknown', () => {
    const { advance } = planGroups(groups, engines, new Map());
    expect(advance).toEqual([]);
  });

  it('are reserved while that group drains', () => {
    const draining = createGroupView('small/10', ['d0-s0a', 'd0-s0b'], 'draining', 500);
    const later = [...large, draining, ...here.slice(1), ...there];
    const { place, advance } = planGroups(later, engines, demand);
    expect({ place, advance }).toEqual({ place: [], advance: [] });
  });

  it('form the group once the drained engines are free', () => {
    const later = [...large, ...here.slice(1), ...there];
    const { place } = planGroups(later, engines, demand);
    expect(place).toMatchObject([{ model: 'large' }]);
    expect(place[0]?.members.slice(0, 3).map(({ host }) => host)).toEqual(['x', 'y', 'z']);
  });

  it('stay idle if no model needs more groups', () => {
    const three = [...large, createGroupView('large/3', ['d3-a', 'd3-b', 'd3-c', 'd3-d'])];
    const enough = [...three, ...here, ...there];
    const { place, advance } = planGroups(enough, engines, demand);
    expect({ place, advance }).toEqual({ place: [], advance: [] });
  });
});

describe('engines that are too few for all models', () => {
  /**
   * Guards against this failure: callers of the large model find no group for half a minute while the small model has as many as it can
   * use. Both had too few. A small group adds as many slots as a large one with half the engines, so each engine that became free went
   * to the small model.
   */
  it('go to the model with the lowest coverage', () => {
    const small = createSmallGroups('d1', 4);
    const engines = [
      ...small.flatMap((view) => createMembers(view, 'd1')),
      ...['a', 'b', 'c', 'd'].map((host) => ({ host, lastModel: 'small', staged: 'large' })),
    ];
    const asked = new Map([
      ['large', 25],
      ['small', 90],
    ]);
    expect(planGroups(small, engines, asked).place).toMatchObject([{ model: 'large' }]);
  });
});

describe('a model that lacks capacity itself', () => {
  const large = createGroupView('large/1', ['d1-a', 'd1-b', 'd1-c', 'd1-d']);
  const small = createSmallGroups('d0', 5);
  const idle = ['x', 'y'].map((host) => ({ host, lastModel: 'large', staged: 'large' }));
  const engines = [
    ...createMembers(large, 'd1'),
    ...small.flatMap((view) => createMembers(view, 'd0')),
    ...idle,
  ];

  /**
   * Guards against this failure: for twenty seconds the large model has one group and demand for two and a half, and nothing is planned,
   * although two idle engines and any group of the small model could form another. The small model slightly lacked capacity itself, so it
   * gave up no group.
   */
  it('gives up a group to a model with much lower coverage', () => {
    const asked = new Map([
      ['large', 40],
      ['small', 88],
    ]);
    const { advance } = planGroups([large, ...small], engines, asked);
    expect(advance).toMatchObject([
      { phase: 'draining', reason: 'its engines are needed for large' },
    ]);
  });

  it('gives up no group to a model with slightly lower coverage', () => {
    const asked = new Map([
      ['large', 22],
      ['small', 100],
    ]);
    const { advance } = planGroups([large, ...small], engines, asked);
    expect(advance).toEqual([]);
  });
});

describe('slow engines', () => {
  const slow = createGroupView('small/1', ['a', 'b']);
  const others = [2, 3, 4].map((number) =>
    createGroupView(`small/${number}`, [`c${number}`, `d${number}`]),
  );
  const large = [
    createGroupView('large/8', ['d1-a', 'd1-b', 'd1-c', 'd1-d']),
    createGroupView('large/9', ['d2-a', 'd2-b', 'd2-c', 'd2-d']),
  ];
  const groups = [slow, ...others, ...large];
  const members = [
    ...[slow, ...others].flatMap((view) => createMembers(view, 'd0')),
    ...large.flatMap((view, index) => createMembers(view, `d${index + 1}`)),
  ];
  const engines = members.map((engine) =>
    engine.host === 'a' ? { ...engine, slowdown: 5 } : engine,
  );

  /**
   * Guards against this failure: all answers of a group take five times as long while one of its engines is slow. A group runs at the
   * speed of its slowest member, and planning ignored the speed.
   */
  it('are replaced by an idle engine', () => {
    const spare = { host: 'e', lastModel: 'small', staged: 'large' };
    const { advance } = planGroups(groups, [...engines, spare], demand);
    expect(advance).toMatchObject([{ name: 'small/1', phase: 'draining' }]);
  });

  it('stay in their group if there is no replacement', () => {
    const { advance } = planGroups(groups, engines, demand);
    expect(advance).toEqual([]);
  });

  it('are not placed in new groups', () => {
    const free = { host: 'f', lastModel: 'small', staged: 'large' };
    const { place } = planGroups([], [free, { ...free, host: 'g', slowdown: 5 }], demand);
    expect(place).toEqual([]);
  });
});

describe('a group that drains', () => {
  const group = createGroupView('small/1', ['a', 'b'], 'draining', 400);
  const members = createMembers(group, 'd0');

  function drainWith(running: number, silence: number) {
    const idle = (view: EngineView): EngineView => {
      const reading = view.facts.reading && { ...view.facts.reading, running };
      return { ...view, reportAge: silence, facts: { ...view.facts, ...(reading && { reading }) } };
    };
    const engines = new Map(
      members.map(createEngineView).map(([host, view]) => [host, idle(view)]),
    );
    return planGroups([group], [], demand, { engines }).advance;
  }

  /**
   * Guards against this failure: streams are interrupted when a group is drained for another model. The head had reported that it was idle
   * a second before the drain began, and the group was closed based on that report.
   */
  it('is closed once its head reports after the start of the drain that it is idle', () => {
    expect(drainWith(0, 350)).toEqual([]);
    expect(drainWith(3, 50)).toEqual([]);
    expect(drainWith(0, 50)).toMatchObject([{ phase: 'closing', reason: 'drained' }]);
  });
});
