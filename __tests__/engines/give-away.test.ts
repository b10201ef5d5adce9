import { describe, expect, it } from 'vitest';

import { planEngineGroups, type EngineView, type GroupView } from '../../src/engines/index.js';
import type { EngineGroup } from '../../src/routing/index.js';
import { createDocument } from '../routing/documents.js';

function createGroup(name: string, model: string, hosts: readonly string[]): EngineGroup {
  const members = hosts.map((host) => ({ host, instance: `i-${host}`, address: '10.0.0.1:1' }));
  const fencingNumber = Number(name.split('/')[1]);
  return { name, service: 'engines', model, members, phase: 'open', fencingNumber };
}

function createEngine(host: string, group: EngineGroup): [string, EngineView] {
  const membership = {
    group: group.name,
    fencingNumber: group.fencingNumber,
    state: group.members[0]?.host === host ? ('open' as const) : ('ready' as const),
  };
  const reading = {
    instance: `i-${host}`,
    fabricDomain: 'd0',
    staged: [group.model === 'large' ? 'small' : 'large'],
    membership,
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
    lastModel: group.model,
  };
  return [host, { host, facts, silence: 0 }];
}

/** Three groups of four and two of two, all open. */
function plan(demand: ReadonlyMap<string, number>) {
  const groups = [
    createGroup('large/1', 'large', ['a', 'b', 'c', 'd']),
    createGroup('large/2', 'large', ['e', 'f', 'g', 'h']),
    createGroup('large/3', 'large', ['i', 'j', 'k', 'l']),
    createGroup('small/4', 'small', ['m', 'n']),
    createGroup('small/5', 'small', ['o', 'p']),
  ];
  const engines = groups.flatMap((group) =>
    group.members.map(({ host }) => createEngine(host, group)),
  );
  return planEngineGroups({
    services: createDocument().services,
    groups: groups.map((group): GroupView => ({ group, phaseAge: 5000 })),
    engines: new Map(engines),
    draining: new Set(),
    hasTraffic: true,
    isSettling: false,
    loadsAllowed: 0,
    pendingStaging: new Map(),
    demand,
    nextNumber: 6,
  });
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
