import { describe, expect, it } from 'vitest';

import type { EngineView } from '../../src/engines/index.js';
import {
  createEngineView,
  createGroupView,
  createMembers,
  planGroups,
  type TestEngine,
} from './fixtures.js';

/** Callers of both models; the large one needs two groups and a reserve, the small one four and a reserve. */
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

describe('what is left of a lost group', () => {
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
   * Symptom: callers of the model with the large groups wait for seconds, while the small one has a third more groups than it
   * needs. Each time that a large group loses a member, two of the three survivors form one more small group; the large model
   * gets no group back until it lacks what is asked for at that moment, and then only while no other group is on its way.
   */
  it('gets a group of another model that has more than it needs', () => {
    const { place, advance } = planGroups(groups, engines, demand);
    expect(place).toEqual([]);
    expect(advance).toMatchObject([
      { phase: 'draining', reason: 'large needs their engines more' },
    ]);
    expect(here.map(({ group }) => group.name)).toContain(advance[0]?.name);
  });

  it('gets none while nothing is known of the demand', () => {
    const { advance } = planGroups(groups, engines, new Map());
    expect(advance).toEqual([]);
  });

  it('is kept for it while that group drains', () => {
    const draining = createGroupView('small/10', ['d0-s0a', 'd0-s0b'], 'draining', 500);
    const later = [...large, draining, ...here.slice(1), ...there];
    const { place, advance } = planGroups(later, engines, demand);
    expect({ place, advance }).toEqual({ place: [], advance: [] });
  });

  it('forms the group once the drained engines are free', () => {
    const later = [...large, ...here.slice(1), ...there];
    const { place } = planGroups(later, engines, demand);
    expect(place).toMatchObject([{ model: 'large' }]);
    expect(place[0]?.members.slice(0, 3).map(({ host }) => host)).toEqual(['x', 'y', 'z']);
  });

  it('stands by where no model needs more', () => {
    const three = [...large, createGroupView('large/3', ['d3-a', 'd3-b', 'd3-c', 'd3-d'])];
    const enough = [...three, ...here, ...there];
    const { place, advance } = planGroups(enough, engines, demand);
    expect({ place, advance }).toEqual({ place: [], advance: [] });
  });
});

describe('engines that are too few for all', () => {
  /**
   * Symptom: callers of the model with the large groups find no group for half a minute, while the other model has as many as it can
   * use. Both had too few; a small group brings as many places as a large one for half of the engines, so each engine that came free went
   * to the small model.
   */
  it('go to the model whose callers find least', () => {
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

describe('a model that is short itself', () => {
  const large = createGroupView('large/1', ['d1-a', 'd1-b', 'd1-c', 'd1-d']);
  const small = createSmallGroups('d0', 5);
  const idle = ['x', 'y'].map((host) => ({ host, lastModel: 'large', staged: 'large' }));
  const engines = [
    ...createMembers(large, 'd1'),
    ...small.flatMap((view) => createMembers(view, 'd0')),
    ...idle,
  ];

  /**
   * Symptom: for twenty seconds one group of the large model is left for the callers of two and a half, and nothing is planned, while two
   * idle engines and any group of the small model would form another. The small model lacked a little itself, so it gave none.
   */
  it('gives a group to one whose callers find much less', () => {
    const asked = new Map([
      ['large', 40],
      ['small', 88],
    ]);
    const { advance } = planGroups([large, ...small], engines, asked);
    expect(advance).toMatchObject([
      { phase: 'draining', reason: 'large needs their engines more' },
    ]);
  });

  it('gives none to one whose callers find little less', () => {
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
   * Symptom: all answers of a group come five times as late for as long as one of its engines is slow. A group works at the pace
   * of its slowest member, and nothing looked at the pace.
   */
  it('leave a group for one that stands by', () => {
    const spare = { host: 'e', lastModel: 'small', staged: 'large' };
    const { advance } = planGroups(groups, [...engines, spare], demand);
    expect(advance).toMatchObject([{ name: 'small/1', phase: 'draining' }]);
  });

  it('stay where nothing could take their place', () => {
    const { advance } = planGroups(groups, engines, demand);
    expect(advance).toEqual([]);
  });

  it('are taken into no group', () => {
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
      return { ...view, silence, facts: { ...view.facts, ...(reading && { reading }) } };
    };
    const engines = new Map(
      members.map(createEngineView).map(([host, view]) => [host, idle(view)]),
    );
    return planGroups([group], [], demand, { engines }).advance;
  }

  /**
   * Symptom: streams break off when a group is given away. The head had said that it was idle a second before the drain began, and the group
   * was closed on that.
   */
  it('is closed once its head says after the drain began that it is idle', () => {
    expect(drainWith(0, 350)).toEqual([]);
    expect(drainWith(3, 50)).toEqual([]);
    expect(drainWith(0, 50)).toMatchObject([{ phase: 'closing', reason: 'drained' }]);
  });
});
