import { describe, expect, it } from 'vitest';

import type { Policy } from '../../src/model/index.js';
import { planPlacement, type PlacedGroup, type PlacementInput } from '../../src/placement/index.js';
import {
  applyDecision,
  artifact,
  configure,
  createHealth,
  createHost,
  createHosts,
  createInput,
  declare,
  listMembers,
  serve,
  withAvailability,
  withFacts,
  withHealth,
} from './fixtures.js';

/** Applies one placement decision and reports all its groups as serving. */
function placeAndServe(input: PlacementInput): readonly PlacedGroup[] {
  return serve(applyDecision(input.groups, planPlacement(input)));
}

const tenAndTen = [...createHosts('bole', 10), ...createHosts('kality', 10)];

describe('placement of new groups', () => {
  it('forms as many groups as each fabric domain holds and leaves the rest as spares', () => {
    const groups = placeAndServe(createInput({ hosts: tenAndTen }));
    expect(groups.map(({ group }) => group.name)).toEqual([1, 2, 3, 4].map((n) => `assist/${n}`));
    for (const placed of groups) {
      expect(new Set(listMembers(placed).map((host) => host.split('-')[0])).size).toBe(1);
    }
  });

  it('spreads a declared number of replicas over failure domains', () => {
    const configuration = configure([declare({ replicas: 2 })]);
    const groups = placeAndServe(createInput({ hosts: tenAndTen, configuration }));
    expect(groups.map((placed) => listMembers(placed)[0]?.split('-')[0])).toEqual([
      'bole',
      'kality',
    ]);
  });

  it('assigns hosts to the declarations that select them by labels', () => {
    const hosts = tenAndTen.map((host) =>
      host.facts.fabricDomain === 'bole'
        ? { ...host, facts: { ...host.facts, labels: { pool: 'desk' } } }
        : host,
    );
    const desk = declare({ name: 'desk', hosts: { pool: ['desk'] }, replicas: 1 });
    const groups = placeAndServe(createInput({ hosts, configuration: configure([desk]) }));
    expect(groups).toHaveLength(1);
    expect(groups.flatMap(listMembers).every((host) => host.startsWith('bole'))).toBe(true);
  });

  it('starts no more loads than the weight store takes at once', () => {
    const hosts = tenAndTen.map((host) => createHost(host.facts.host, { upstream: emptyEngine }));
    const configuration = configure([declare()], { concurrentLoads: 8 });
    const decision = planPlacement(createInput({ hosts, configuration }));
    expect(decision.place).toHaveLength(2);
    expect(decision.loads).toEqual({ limit: 8, running: 0, started: 8 });
  });

  it('spans fabric domains only where the policy allows it and its weights favor it', () => {
    const hosts = [...createHosts('bole', 6), ...createHosts('kality', 6)];
    const decide = (policy: Partial<Policy>, hostUnavailability: number) => {
      const configuration = configure([declare()], policy);
      const estimates = { loadDuration: 120_000, handover: 3000, hostUnavailability };
      return placeAndServe(createInput({ hosts, configuration, estimates })).length;
    };
    const allowAcrossFabricDomains = true;
    const downtime = { groupDowntimeWeight: 10, strandedAcceleratorWeight: 1 };
    const stranded = { groupDowntimeWeight: 1, strandedAcceleratorWeight: 10 };
    expect(decide(downtime, 0.005)).toBe(2);
    expect(decide({ ...downtime, allowAcrossFabricDomains }, 0.005)).toBe(3);
    // With hosts that are often unavailable, spares are worth more for repairs than for one more slow group.
    expect(decide({ ...downtime, allowAcrossFabricDomains }, 0.2)).toBe(2);
    expect(decide({ ...stranded, allowAcrossFabricDomains }, 0.2)).toBe(3);
  });

  it('places each upstream of a plain service as a group of one', () => {
    const upstream = { type: 'service', service: 'desk' } as const;
    const hosts = ['a-1', 'a-2'].map((name) => createHost(name, { upstream }));
    const service = {
      name: 'desk',
      hosts: {},
      reachableBy: { accounts: {}, services: [] },
      nonIdempotentByDefault: false,
      concurrency: 4,
    };
    const configuration = { ...configure([]), services: [service] };
    const groups = placeAndServe(createInput({ hosts, configuration }));
    expect(groups.map(({ group }) => group.name)).toEqual(['desk/1', 'desk/2']);
    expect(planPlacement(createInput({ hosts, configuration, groups })).place).toEqual([]);
  });
});

const emptyEngine = { type: 'engine', loaded: [], checksFencingNumber: true } as const;

describe('repair', () => {
  const groups = placeAndServe(createInput({ hosts: tenAndTen }));
  const first = groups[0];
  if (first === undefined) {
    throw new Error('no group was placed');
  }
  const victim = listMembers(first)[1] ?? '';

  /** Hosts and groups after the victim was lost; its own group no longer serves. */
  function lose(availability: Parameters<typeof withAvailability>[2]) {
    const broken = groups.map((placed) =>
      placed === first ? withHealth(first.group, createHealth(first.group, false)) : placed,
    );
    return { hosts: withAvailability(tenAndTen, victim, availability), groups: broken };
  }

  it('changes nothing while all groups are whole', () => {
    const decision = planPlacement(createInput({ hosts: tenAndTen, groups }));
    expect([decision.place, decision.dissolve]).toEqual([[], []]);
  });

  it('replaces a lost host by a loaded spare of the same fabric domain and keeps the lead', () => {
    const decision = planPlacement(createInput(lose({ type: 'gone' })));
    expect(decision.dissolve).toEqual([]);
    const [repaired] = decision.place;
    const members = repaired?.members.map((member) => member.host) ?? [];
    expect(repaired?.name).toBe(first.group.name);
    expect(members).not.toContain(victim);
    expect(members[0]).toBe(listMembers(first)[0]);
    expect(new Set(members.map((host) => host.split('-')[0])).size).toBe(1);
  });

  it('waits for a host that is expected back before a spare would have loaded', () => {
    const loss = lose({ type: 'suspected', expectedReturn: 30_000 });
    const hosts = loss.hosts.map((host) =>
      listMembers(first).includes(host.facts.host)
        ? host
        : { ...host, facts: { ...host.facts, upstream: emptyEngine } },
    );
    const patient = planPlacement(createInput({ ...loss, hosts }));
    expect(patient.place).toEqual([]);
    expect(patient.notes).toContainEqual({ type: 'waitingForReturn', group: first.group.name });
    const loaded = planPlacement(createInput(loss));
    expect(loaded.notes).toContainEqual({ type: 'repaired', group: first.group.name });
  });

  it('swaps a lost host that returns loaded back in while its replacement is still loading', () => {
    const loss = lose({ type: 'gone' });
    const unloaded = loss.hosts.map((host) =>
      listMembers(first).includes(host.facts.host)
        ? host
        : { ...host, facts: { ...host.facts, upstream: emptyEngine } },
    );
    const repaired = applyDecision(
      loss.groups,
      planPlacement(createInput({ ...loss, hosts: unloaded })),
    );
    expect(repaired.flatMap(listMembers)).not.toContain(victim);
    const returned = withAvailability(unloaded, victim, { type: 'present' });
    const decision = planPlacement(createInput({ hosts: returned, groups: repaired }));
    expect(decision.place[0]?.members.map((member) => member.host)).toContain(victim);
  });

  it('does not change a group that its lead reports as serving, even if control considers a member gone', () => {
    const hosts = withAvailability(tenAndTen, victim, { type: 'gone' });
    expect(planPlacement(createInput({ hosts, groups })).place).toEqual([]);
  });

  it('does not act on lost hosts while control suspects that it is isolated', () => {
    const decision = planPlacement(
      createInput({ ...lose({ type: 'gone' }), isIsolationSuspected: true }),
    );
    expect([decision.place, decision.dissolve]).toEqual([[], []]);
  });

  // Regression: after one of four hosts froze for six seconds, all four served nothing for half a minute.
  // The member came back and was quarantined, with no spare in its fabric domain. It was treated as permanently lost,
  // and a group with a permanently lost member is dissolved.
  it('keeps a group with a quarantined member when no spare can replace it', () => {
    const four = createHosts('bole', 4);
    const groups = placeAndServe(createInput({ hosts: four }));
    const broken = groups.map(({ group }) => withHealth(group, createHealth(group, false)));
    const heldBack = { type: 'quarantined', expectedReturn: 30_000 } as const;
    const hosts = withAvailability(four, 'bole-2', heldBack);
    expect(planPlacement(createInput({ hosts, groups: broken })).dissolve).toEqual([]);
    const spared = [...hosts, createHost('bole-5')];
    const [repaired] = planPlacement(createInput({ hosts: spared, groups: broken })).place;
    expect(repaired?.members.map((member) => member.host)).toContain('bole-5');
  });

  it('merges broken groups of a fabric domain when no spare is left', () => {
    const hosts = createHosts('bole', 12);
    const placed = placeAndServe(createInput({ hosts }));
    const [one, two, three] = placed;
    if (one === undefined || two === undefined || three === undefined) {
      throw new Error('expected three groups');
    }
    const away = { type: 'suspected', expectedReturn: 600_000 } as const;
    const silent = [listMembers(one)[0] ?? '', listMembers(two)[1] ?? ''].reduce(
      (all, name) => withAvailability(all, name, away),
      hosts,
    );
    const broken = [
      withHealth(one.group, undefined),
      withHealth(two.group, createHealth(two.group, false)),
      three,
    ];
    const decision = planPlacement(createInput({ hosts: silent, groups: broken }));
    expect(decision.dissolve).toEqual([two.group.name]);
    expect(decision.place.map(({ name }) => name)).toEqual([one.group.name]);
    expect(decision.place[0]?.members).toHaveLength(4);
  });

  it('renews the placement of a group when its lead has restarted', () => {
    // Guards against a complete group that never serves again after its lead's sidecar restarts: gateways send attempts
    // for the incarnation in the placement, and the new incarnation refuses attempts addressed to the old one.
    const lead = listMembers(first)[0] ?? '';
    const hosts = withFacts(tenAndTen, lead, { incarnation: 'restarted' });
    const broken = groups.map((placed) =>
      placed === first ? withHealth(first.group, undefined) : placed,
    );
    const decision = planPlacement(createInput({ hosts, groups: broken }));
    expect(decision.place.map(({ members }) => members[0])).toEqual([
      { host: lead, address: `${lead}:1`, incarnation: 'restarted' },
    ]);
  });

  it('repairs a second loss right after a repair', () => {
    // Guards against a group that stays down although a spare is idle: a member is lost, and the spare that replaces it is
    // lost before the group serves again. The group must not be skipped as already under repair.
    const loss = lose({ type: 'gone' });
    const repaired = applyDecision(loss.groups, planPlacement(createInput(loss)));
    const target = repaired.find(({ group }) => group.name === first.group.name);
    const spare = target?.group.members.at(-1)?.host ?? '';
    const again = withAvailability(loss.hosts, spare, { type: 'gone' });
    const decision = planPlacement(createInput({ hosts: again, groups: repaired }));
    expect(decision.place.map(({ name }) => name)).toEqual([first.group.name]);
    expect(decision.place[0]?.members.map((member) => member.host)).not.toContain(spare);
  });
});

describe('a host that comes back', () => {
  const groups = placeAndServe(createInput({ hosts: tenAndTen }));
  const lead = groups[0]?.group.members[0]?.host ?? '';
  const silent = groups.map(({ group }) => withHealth(group, createHealth(group, false)));

  // Regression: a group drained without any configuration change. A sidecar that restarted or recovered from a freeze
  // reported before its engine had announced itself again, and a host with an unknown upstream was treated as no longer
  // selected for the group.
  it('is not taken out of its group before its upstream has announced itself', () => {
    const unwell = { type: 'suspected', expectedReturn: 1000 } as const;
    const restarted = withFacts(tenAndTen, lead, { upstream: undefined, isHealthy: false });
    const hosts = withAvailability(restarted, lead, unwell);
    expect(planPlacement(createInput({ hosts, groups: silent })).place).toEqual([]);
    const desk = createHost('desk-1', { upstream: { type: 'service', service: 'desk' } });
    const configuration = {
      ...configure([]),
      services: [
        {
          name: 'desk',
          hosts: {},
          reachableBy: { accounts: {}, services: [] },
          nonIdempotentByDefault: false,
          concurrency: 1,
        },
      ],
    };
    const services = placeAndServe(createInput({ hosts: [desk], configuration }));
    const silentDesk = withFacts([desk], 'desk-1', { upstream: undefined, isHealthy: false });
    const unknown = withAvailability(silentDesk, 'desk-1', unwell);
    const decision = planPlacement(
      createInput({ hosts: unknown, groups: services, configuration }),
    );
    expect([services.length, decision.place]).toEqual([1, []]);
  });

  // Regression: a group stayed draining forever and its hosts were stranded. Its lead had restarted, and only the
  // previous incarnation could report that the drain was finished.
  it('ends the drain of a group that it led before it restarted', () => {
    const configuration = configure([declare({ replicas: 0 })]);
    const draining = silent.map(({ group }) =>
      withHealth({ ...group, isDraining: true }, undefined),
    );
    const hosts = withFacts(tenAndTen, lead, { incarnation: 'a later start' });
    const decision = planPlacement(createInput({ hosts, groups: draining, configuration }));
    expect(decision.dissolve).toEqual([groups[0]?.group.name]);
  });
});

describe('changes by operators', () => {
  const groups = placeAndServe(createInput({ hosts: tenAndTen }));
  const newer = { ...artifact, version: '2' };

  it('drains groups without a declaration at once and dissolves them when drained', () => {
    const configuration = configure([]);
    const decision = planPlacement(createInput({ hosts: tenAndTen, groups, configuration }));
    expect(decision.place.every(({ isDraining }) => isDraining)).toBe(true);
    expect(decision.place).toHaveLength(4);
    const draining = applyDecision(groups, decision);
    const inFlight = draining.map(({ group }) => withHealth(group, createHealth(group, false)));
    expect(
      planPlacement(createInput({ hosts: tenAndTen, groups: inFlight, configuration })),
    ).toMatchObject({
      place: [],
      dissolve: [],
    });
    const drained = draining.map(({ group }) =>
      withHealth(group, createHealth(group, false, true)),
    );
    expect(
      planPlacement(createInput({ hosts: tenAndTen, groups: drained, configuration })).dissolve,
    ).toHaveLength(4);
  });

  it('replaces one group at a time by a new version when downtime has the higher weight', () => {
    const configuration = configure([declare({ carries: newer })], { groupDowntimeWeight: 10 });
    const decision = planPlacement(createInput({ hosts: tenAndTen, groups, configuration }));
    expect(decision.place.filter(({ isDraining }) => isDraining)).toHaveLength(1);
  });

  it('places a replacement first where spares allow', () => {
    const hosts = [...tenAndTen, ...createHosts('merkato', 4)];
    const configuration = configure([declare({ carries: newer })], { groupDowntimeWeight: 10 });
    const decision = planPlacement(createInput({ hosts, groups, configuration }));
    expect(decision.place).toHaveLength(1);
    expect(decision.place[0]).toMatchObject({ isDraining: false, offer: { artifact: newer } });
    const next = applyDecision(groups, decision).map((placed) =>
      placed.health === undefined ? (serve([placed])[0] ?? placed) : placed,
    );
    const later = planPlacement(createInput({ hosts, groups: next, configuration }));
    expect(later.place).toHaveLength(1);
    expect(later.place[0]?.isDraining).toBe(true);
  });

  it('drains the group of a host that is being stopped, then forms it again without that host', () => {
    const first = groups[0];
    const leaving = first?.group.members[2]?.host ?? '';
    const hosts = withFacts(tenAndTen, leaving, { isDraining: true });
    const decision = planPlacement(createInput({ hosts, groups }));
    expect(decision.place).toMatchObject([{ name: first?.group.name, isDraining: true }]);
    const drained = applyDecision(groups, decision).map((placed) =>
      placed.group.isDraining
        ? withHealth(placed.group, createHealth(placed.group, false, true))
        : placed,
    );
    const formed = planPlacement(createInput({ hosts, groups: drained }));
    expect(formed.place).toMatchObject([{ name: first?.group.name, isDraining: false }]);
    expect(formed.place[0]?.members.map((member) => member.host)).not.toContain(leaving);
  });

  it('gives a group that drained and formed again from the same hosts a new fencing number', () => {
    // Regression: a group stayed down although all its hosts were healthy. A label was removed and set again while the
    // group drained, and the same members under the same name kept the fencing number of a placement whose lead had
    // already released its leases.
    const first = groups[0];
    const drained = groups.map((placed) =>
      placed === first
        ? withHealth({ ...placed.group, isDraining: true }, createHealth(placed.group, false, true))
        : placed,
    );
    const decision = planPlacement(createInput({ hosts: tenAndTen, groups: drained }));
    expect(decision.dissolve).toEqual([first?.group.name]);
    expect(decision.place.map(({ name }) => name)).toEqual([first?.group.name]);
  });
});
