import { describe, expect, it } from 'vitest';

import { createGroupView, planGroups, type TestEngine } from './fixtures.js';

/** A group whose engines have no reports, so that only the free engines are available. */
function createGroup(number: number, model: string, size: number) {
  const hosts = Array.from({ length: size }, (_, index) => `${model}-${number}-${index}`);
  return createGroupView(`${model}/${number}`, hosts);
}

function place(free: readonly TestEngine[], demand: ReadonlyMap<string, number>) {
  const groups = [
    createGroup(1, 'large', 4),
    ...[2, 3, 4].map((number) => createGroup(number, 'small', 2)),
  ];
  const { place: placed } = planGroups(groups, free, demand, { nextNumber: 6 });
  return placed.map(({ model, members }) => `${model}: ${members.map(({ host }) => host).join()}`);
}

function createEngine(host: string, lastModel: string, staged: string): TestEngine {
  return { host, lastModel, staged };
}

const demand = new Map([
  ['large', 27],
  ['small', 50],
]);

describe('groups formed from free engines', () => {
  /**
   * Guards against this failure: a model that needs two groups has only one and its callers wait for seconds, while four engines that
   * last had that model form two groups of the other model as a reserve.
   */
  it('go to the model that lacks groups before any reserve is formed', () => {
    const free = ['a', 'b', 'c', 'd'].map((host) => createEngine(host, 'large', 'small'));
    expect(place(free, demand)).toEqual(['large: a,b,c,d']);
  });

  it('form a reserve of another model if the model that lacks groups cannot form one', () => {
    const free = ['a', 'b', 'c'].map((host) => createEngine(host, 'large', 'small'));
    expect(place(free, demand)).toEqual(['small: a,b']);
  });

  it('exclude engines that would have to load the weights first', () => {
    const free = ['a', 'b', 'c', 'd'].map((host) => createEngine(host, 'other', 'other'));
    expect(place(free, demand)).toEqual([]);
  });

  it('use the engines that can join soonest', () => {
    const free = [
      ...['a', 'b', 'c'].map((host) => createEngine(host, 'small', 'large')),
      ...['d', 'e', 'f'].map((host) => createEngine(host, 'large', 'small')),
    ];
    expect(place(free, demand)[0]).toBe('large: d,e,f,a');
  });
});
