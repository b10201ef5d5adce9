import { describe, expect, it } from 'vitest';

import { drainEvacuated } from '../../src/control/state/index.js';
import { planPlacement, type PlacementHost } from '../../src/placement/index.js';
import {
  applyDecision,
  configure,
  createHosts,
  createInput,
  declare,
  listMembers,
  serve,
} from './fixtures.js';

const hosts = [...createHosts('bole', 4), ...createHosts('kality', 4)];
const configuration = configure([declare({ replicas: 1 })]);

function evacuate(...domains: readonly string[]): readonly PlacementHost[] {
  const evacuations = new Map(domains.map((domain) => [domain, {}]));
  return hosts.map((host) => ({ ...host, facts: drainEvacuated(host.facts, evacuations) }));
}

describe('placement during the evacuation of a failure domain', () => {
  const groups = serve(
    applyDecision([], planPlacement(createInput({ hosts: evacuate('kality'), configuration }))),
  );

  // Guards against a new group in a domain that is to get no requests.
  it('forms no group in the domain', () => {
    expect(groups.flatMap(listMembers)).toEqual(['bole-1', 'bole-2', 'bole-3', 'bole-4']);
    const none = planPlacement(createInput({ hosts: evacuate('bole', 'kality'), configuration }));
    expect(none.place).toEqual([]);
  });

  // Guards against a group that goes on serving in an evacuated domain, and against draining it without forming one elsewhere.
  it('forms a whole group elsewhere in the decision that drains the one in the domain', () => {
    const input = createInput({ hosts: evacuate('bole'), groups, configuration });
    const { place } = planPlacement(input);
    const formed = place.filter(({ isDraining }) => !isDraining);
    const drained = place.filter(({ isDraining }) => isDraining);
    expect(formed.flatMap(({ members }) => members.map(({ host }) => host))).toEqual([
      'kality-1',
      'kality-2',
      'kality-3',
      'kality-4',
    ]);
    expect(drained.map(({ name }) => name)).toEqual(groups.map(({ group }) => group.name));
  });

  // Guards against hosts that stay out of use after the evacuation has ended.
  it('uses the hosts of the domain again after the end', () => {
    const two = configure([declare({ replicas: 2 })]);
    const { place } = planPlacement(createInput({ hosts, groups, configuration: two }));
    expect(place.flatMap(({ members }) => members.map(({ host }) => host))).toEqual([
      'kality-1',
      'kality-2',
      'kality-3',
      'kality-4',
    ]);
  });
});
