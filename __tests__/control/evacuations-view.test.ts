import { describe, expect, it } from 'vitest';

import { createEvacuationsView } from '../../src/control/shell/evacuations-view.js';
import { initialRoutingState } from '../../src/control/state/index.js';
import type { EngineView } from '../../src/engines/index.js';
import type { EngineGroup } from '../../src/routing/index.js';
import { createHost } from '../placement/fixtures.js';

const startedAt = 10_000;
const evacuationLimit = 5000;

function createEngine(host: string, failureDomain: string, running: number): [string, EngineView] {
  const reading = {
    instance: { id: `i-${host}` },
    fabricDomain: 'f',
    staged: [],
    isBusy: false,
    running,
    waiting: 1,
    slowdown: 1,
  };
  const facts = { failureDomain, address: '10.0.0.1:1', service: 'engines', reading };
  return [host, { host, facts, reportAge: 0 }];
}

function createGroup(name: string, host: string, failureDomain?: string): [string, EngineGroup] {
  const member = { host, instance: { id: `i-${host}` }, address: '10.0.0.1:1' };
  const members = [failureDomain === undefined ? member : { ...member, failureDomain }];
  const group = { name, service: 'engines', model: 'small', fencingNumber: 1, members };
  return [name, { ...group, phase: 'draining' }];
}

function describeDomain(wallNow: number, change: object = {}) {
  const routing = {
    ...initialRoutingState,
    evacuations: new Map([['a', { failureDomain: 'a', startedAt }]]),
    ...change,
  };
  const { facts } = createHost('a-1');
  const report = { facts, lastHeard: 0, configurationRevision: 0, groups: [] };
  return createEvacuationsView({
    state: { routing, groups: new Map() },
    directory: { read: () => new Map([['a-1', { ...report, sequence: 0, factsSequence: 0 }]]) },
    engines: new Map([createEngine('h-1', 'a', 3), createEngine('h-2', 'b', 5)]),
    wallNow,
    evacuationLimit,
  }).evacuations[0];
}

describe('the description of an evacuation for operators', () => {
  // Guards against an operator who begins work in a domain in which groups still serve, whichever way their domain is known.
  it('names the groups with a member in the domain, and counts the requests of its engines', () => {
    const engineGroups = new Map([
      createGroup('placed', 'h-9', 'a'),
      createGroup('reported', 'h-1'),
      createGroup('elsewhere', 'h-2'),
    ]);
    expect(describeDomain(startedAt + evacuationLimit, { engineGroups })).toEqual({
      failureDomain: 'a',
      startedAt,
      groups: ['placed', 'reported'],
      requests: 4,
      waitsFor: ['groups', 'requests'],
    });
  });

  // Guards against "done" while gateways may still send requests to the domain.
  it('waits for the gateways until the limit has passed', () => {
    expect(describeDomain(startedAt + evacuationLimit - 1)?.waitsFor).toContain('gateways');
    expect(describeDomain(startedAt + evacuationLimit)?.waitsFor).not.toContain('gateways');
  });

  // Guards against a list that shows evacuations that have ended.
  it('is absent after the end', () => {
    expect(describeDomain(startedAt, { evacuations: new Map() })).toBeUndefined();
  });
});
