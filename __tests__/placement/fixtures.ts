import { emptyConfiguration } from '../../src/configuration/index.js';
import type {
  Artifact,
  Configuration,
  Group,
  GroupDeclaration,
  GroupHealth,
  HostFacts,
  Policy,
} from '../../src/model/index.js';
import type {
  HostAvailability,
  PlacementDecision,
  PlacementHost,
  PlacementInput,
  PlacedGroup,
} from '../../src/placement/index.js';

/** Builders for inputs of placement. */

export const artifact: Artifact = { model: 'assist', version: '1', adapters: [] };

export function declare(change: Partial<GroupDeclaration> = {}): GroupDeclaration {
  return {
    name: 'assist',
    hosts: {},
    replicaSize: 4,
    replicas: undefined,
    carries: artifact,
    reachableBy: { accounts: {}, services: [] },
    ...change,
  };
}

export function configure(
  groups: readonly GroupDeclaration[],
  policy: Partial<Policy> = {},
): Configuration {
  const merged = { ...emptyConfiguration.policy, concurrentLoads: 100, ...policy };
  return { ...emptyConfiguration, groups, policy: merged };
}

export function createHost(name: string, change: Partial<HostFacts> = {}): PlacementHost {
  const domain = name.split('-')[0] ?? name;
  const facts: HostFacts = {
    host: name,
    incarnation: `${name}/1`,
    address: `${name}:1`,
    region: 'addis',
    failureDomain: domain,
    fabricDomain: domain,
    accelerators: 8,
    labels: {},
    upstream: { type: 'engine', loaded: [artifact], checksFencingNumber: true },
    isHealthy: true,
    isDraining: false,
    ...change,
  };
  return { facts, availability: { type: 'present' } };
}

/** Hosts `domain-1` to `domain-count`. */
export function createHosts(domain: string, count: number): readonly PlacementHost[] {
  return Array.from({ length: count }, (_, index) => createHost(`${domain}-${index + 1}`));
}

export function withAvailability(
  hosts: readonly PlacementHost[],
  name: string,
  availability: HostAvailability,
): readonly PlacementHost[] {
  return hosts.map((host) => (host.facts.host === name ? { ...host, availability } : host));
}

export function withFacts(
  hosts: readonly PlacementHost[],
  name: string,
  change: Partial<HostFacts>,
): readonly PlacementHost[] {
  return hosts.map((host) =>
    host.facts.host === name ? { ...host, facts: { ...host.facts, ...change } } : host,
  );
}

export function createInput(change: Partial<PlacementInput>): PlacementInput {
  return {
    configuration: configure([declare()]),
    hosts: [],
    groups: [],
    estimates: { loadDuration: 120_000, handover: 3000, hostUnavailability: 0.005 },
    isIsolationSuspected: false,
    ...change,
  };
}

/** Groups after a decision, as in control's state; new and replaced groups get the next fencing numbers. */
export function applyDecision(
  groups: readonly PlacedGroup[],
  decision: PlacementDecision,
): readonly PlacedGroup[] {
  const kept = new Map(groups.map((placed) => [placed.group.name, placed]));
  for (const name of decision.dissolve) {
    kept.delete(name);
  }
  let fencingNumber = Math.max(0, ...groups.map(({ group }) => group.fencingNumber));
  for (const placement of decision.place) {
    const previous = kept.get(placement.name);
    if (previous !== undefined && placement.isDraining) {
      kept.set(placement.name, { ...previous, group: { ...previous.group, isDraining: true } });
      continue;
    }
    fencingNumber += 1;
    const group = { ...placement, fencingNumber };
    kept.set(placement.name, { group, health: undefined, incompleteFor: 0 });
  }
  return [...kept.values()];
}

/** The same groups, each reported as serving by its lead. */
export function serve(groups: readonly PlacedGroup[]): readonly PlacedGroup[] {
  return groups.map(({ group }) => withHealth(group, createHealth(group, true)));
}

/** A placed group with the health reported by its lead. */
export function withHealth(group: Group, health: GroupHealth | undefined): PlacedGroup {
  return { group, health, incompleteFor: 0 };
}

export function createHealth(group: Group, isServing: boolean, isDrained = false) {
  const { name, fencingNumber } = group;
  return { group: name, fencingNumber, isServing, isDrained, missing: [] };
}

export function listMembers({ group }: PlacedGroup): readonly string[] {
  return group.members.map((member) => member.host);
}
