import { describe, expect, it } from 'vitest';

import { planEngineGroups, type EngineView, type GroupView } from '../../src/engines/index.js';
import type { EngineGroup } from '../../src/routing/index.js';
import { createDocument } from '../routing/documents.js';

function createEngine(host: string, lastModel: string, staged: string): [string, EngineView] {
  const reading = {
    instance: `i-${host}`,
    fabricDomain: 'd0',
    staged: [staged],
    isBusy: false,
    running: 1,
    waiting: 0,
    slowdown: 1,
  };
  const facts = {
    failureDomain: 'a',
    address: '10.0.0.1:1',
    service: 'engines',
    reading,
    lastModel,
  };
  return [host, { host, facts, silence: 0 }];
}

function createGroup(number: number, model: string, size: number): GroupView {
  const members = Array.from({ length: size }, (_, index) => {
    const host = `${model}-${number}-${index}`;
    return { host, instance: `i-${host}`, address: '10.0.0.1:1' };
  });
  const name = `${model}/${number}`;
  const group: EngineGroup = {
    name,
    fencingNumber: number,
    service: 'engines',
    model,
    members,
    phase: 'open',
  };
  return { group, phaseAge: 5000 };
}

function place(free: readonly [string, EngineView][], demand: ReadonlyMap<string, number>) {
  const { place: placed } = planEngineGroups({
    services: createDocument().services,
    groups: [
      createGroup(1, 'large', 4),
      ...[2, 3, 4].map((number) => createGroup(number, 'small', 2)),
    ],
    engines: new Map(free),
    draining: new Set(),
    hasTraffic: true,
    isSettling: false,
    loadsAllowed: 0,
    pendingStaging: new Map(),
    demand,
    nextNumber: 6,
  });
  return placed.map(({ model, members }) => `${model}: ${members.map(({ host }) => host).join()}`);
}

const demand = new Map([
  ['large', 27],
  ['small', 50],
]);

describe('groups from free engines', () => {
  /**
   * Symptom: one group is left of a model that needs two, and its callers wait for seconds, while four engines that had that model
   * last form two groups of the other model as a reserve.
   */
  it('are of the model that lacks groups, before any reserve', () => {
    const free = ['a', 'b', 'c', 'd'].map((host) => createEngine(host, 'large', 'small'));
    expect(place(free, demand)).toEqual(['large: a,b,c,d']);
  });

  it('are a reserve of another model where the one that lacks groups cannot form one', () => {
    const free = ['a', 'b', 'c'].map((host) => createEngine(host, 'large', 'small'));
    expect(place(free, demand)).toEqual(['small: a,b']);
  });

  it('take no engine that would have to load the weights first', () => {
    const free = ['a', 'b', 'c', 'd'].map((host) => createEngine(host, 'other', 'other'));
    expect(place(free, demand)).toEqual([]);
  });

  it('take those first that join in the shortest time', () => {
    const free = [
      ...['a', 'b', 'c'].map((host) => createEngine(host, 'small', 'large')),
      ...['d', 'e', 'f'].map((host) => createEngine(host, 'large', 'small')),
    ];
    expect(place(free, demand)[0]).toBe('large: d,e,f,a');
  });
});
