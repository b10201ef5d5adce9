import type { PlacedGroup, PlacementHost } from '../../src/placement/index.js';
import { isUsable } from '../../src/placement/index.js';

/** Number of groups of a naive placement: keeps intact groups and splits the other hosts by fabric domain, whatever they have loaded. */
export function countNaiveGroups(
  hosts: readonly PlacementHost[],
  groups: readonly PlacedGroup[],
  replicaSize: number,
): number {
  const usable = new Map(hosts.filter(isUsable).map((host) => [host.facts.host, host]));
  const intact = groups.filter(({ group }) => group.members.every(({ host }) => usable.has(host)));
  for (const { group } of intact) {
    for (const { host } of group.members) {
      usable.delete(host);
    }
  }
  const sizes = new Map<string, number>();
  for (const { facts } of usable.values()) {
    sizes.set(facts.fabricDomain, (sizes.get(facts.fabricDomain) ?? 0) + 1);
  }
  const formed = [...sizes.values()].map((size) => Math.floor(size / replicaSize));
  return formed.reduce((sum, count) => sum + count, intact.length);
}
