import type { Milliseconds } from '../common/index.js';
import type { Group, GroupDeclaration } from '../model/index.js';
import { fabricDomainOf, hasLoaded } from './host-facts.js';
import type { BrokenCondition } from './inspection.js';
import type { PlacementEstimates, PlacementHost } from './types.js';
import {
  compareNames,
  countLoads,
  groupByFabricDomain,
  toMember,
  type WorkingPlan,
} from './working-plan.js';

/** Brings broken groups back: by spares of their fabric domain, by merging them, at last by spares of other fabric domains. */

/** A broken group and what its declaration wants. */
export interface BrokenGroup {
  readonly group: Group;
  readonly declaration: GroupDeclaration;
  readonly condition: BrokenCondition;
}

/**
 * Repairs what spares can repair and returns the groups that are still broken.
 * A broken group across fabric domains is given up first where one within a domain can be formed instead.
 * Groups that lack the fewest members come first: so the same spares bring back the most groups.
 */
export function repairGroups(
  plan: WorkingPlan,
  broken: readonly BrokenGroup[],
): readonly BrokenGroup[] {
  const apart = broken.filter((candidate) => isSpread(candidate) && !isBackSoon(plan, candidate));
  const left = freeForForming(plan, apart);
  return broken
    .filter((candidate) => !apart.includes(candidate) || left.includes(candidate))
    .sort(compareBroken)
    .filter((candidate) => !tryRepair(plan, candidate, 'fabricDomain'));
}

/** Repairs with spares of other fabric domains of the region; only what nothing better could be done for. */
export function repairAcross(
  plan: WorkingPlan,
  broken: readonly BrokenGroup[],
): readonly BrokenGroup[] {
  return [...broken]
    .sort(compareBroken)
    .filter((candidate) => !tryRepair(plan, candidate, 'region'));
}

/**
 * Merges groups that spares cannot repair, within one declaration and each within a fabric domain, and returns what is left.
 * The groups that lack the most members give theirs to those that lack the fewest.
 */
export function mergeGroups(
  plan: WorkingPlan,
  broken: readonly BrokenGroup[],
): readonly BrokenGroup[] {
  const pools = new Map<string, BrokenGroup[]>();
  for (const candidate of broken) {
    const { name } = candidate.declaration;
    pools.set(name, [...(pools.get(name) ?? []), candidate]);
  }
  return [...pools.values()].flatMap((pool) => mergePool(plan, [...pool].sort(compareBroken)));
}

/** Where waiting for the lost members beats any replacement, the group is left as it is. */
export function isWorthWaiting(
  expectedReturn: Milliseconds,
  loads: number,
  estimates: PlacementEstimates,
): boolean {
  const loading = loads === 0 ? 0 : estimates.loadDuration;
  return expectedReturn <= estimates.handover + loading;
}

/** Whether the lost members are expected back before what is left of the group would have loaded elsewhere. */
function isBackSoon(plan: WorkingPlan, { condition, declaration }: BrokenGroup): boolean {
  const loads = countLoads(condition.survivors, declaration.carries);
  return isWorthWaiting(condition.expectedReturn, loads, plan.input.estimates);
}

function isSpread({ condition }: BrokenGroup): boolean {
  return groupByFabricDomain(condition.survivors).size > 1;
}

function tryRepair(plan: WorkingPlan, broken: BrokenGroup, reach: Reach): boolean {
  const { declaration, condition, group } = broken;
  const missing = declaration.replicaSize - condition.survivors.length;
  const replacements = chooseReplacements(plan, broken, missing, reach);
  if (condition.survivors.length === 0 || replacements === undefined) {
    return false;
  }
  const members = [...condition.survivors, ...replacements];
  const loads = countLoads(members, declaration.carries);
  if (isWorthWaiting(condition.expectedReturn, loads, plan.input.estimates)) {
    plan.note({ type: 'waitingForReturn', group: group.name });
    return true;
  }
  if (!plan.hasLoadBudget(countLoads(replacements, declaration.carries))) {
    plan.note({ type: 'loadBudgetSpent', declaration: declaration.name });
    return true;
  }
  placeMembers(plan, broken, members);
  plan.note({ type: 'repaired', group: group.name });
  return true;
}

/** Where replacements may come from. */
type Reach = 'fabricDomain' | 'region';

/** Spares of the fabric domain of the survivors first; then of their region, as far as the reach goes. */
function chooseReplacements(
  plan: WorkingPlan,
  { declaration, condition }: BrokenGroup,
  missing: number,
  reach: Reach,
): readonly PlacementHost[] | undefined {
  const { survivors } = condition;
  const home = homeOf(survivors);
  const region = survivors[0]?.facts.region;
  const spares = plan.findSpares(declaration).filter((host) => !survivors.includes(host));
  const near = spares.filter((host) => fabricDomainOf(host) === home);
  const far = spares.filter((host) => !near.includes(host) && host.facts.region === region);
  const candidates = reach === 'region' ? [...near, ...far] : near;
  return candidates.length < missing ? undefined : candidates.slice(0, missing);
}

/** `pool` is ordered: those that lack the fewest members first. */
function mergePool(plan: WorkingPlan, pool: readonly BrokenGroup[]): readonly BrokenGroup[] {
  const able = pool.filter((candidate) => !isBackSoon(plan, candidate));
  const left = pool.filter((candidate) => !able.includes(candidate));
  for (const { group } of left) {
    plan.note({ type: 'waitingForReturn', group: group.name });
  }
  const targets = [...able];
  const unmerged: BrokenGroup[] = [];
  for (let target = targets.shift(); target !== undefined; target = targets.shift()) {
    if (!mergeInto(plan, target, targets)) {
      unmerged.push(target);
    }
  }
  return [...left, ...freeForForming(plan, unmerged)];
}

/**
 * Dissolves groups whose members, with the spares of some fabric domain, suffice for a new group there.
 * Groups across fabric domains need it: what is left of one may be worth more in a domain that is not its own.
 */
function freeForForming(plan: WorkingPlan, broken: readonly BrokenGroup[]): readonly BrokenGroup[] {
  let left = broken;
  const domains = new Set(
    broken.flatMap(({ condition }) => condition.survivors.map(fabricDomainOf)),
  );
  for (const domain of [...domains].sort(compareNames)) {
    const chosen = chooseContributors(plan, left, domain);
    for (const { group } of chosen) {
      plan.dissolve(group.name);
    }
    left = left.filter((candidate) => !chosen.includes(candidate));
  }
  return left;
}

/** The fewest groups that make up what the spares of the domain lack; none when all of them are not enough. */
function chooseContributors(
  plan: WorkingPlan,
  broken: readonly BrokenGroup[],
  domain: string,
): readonly BrokenGroup[] {
  const isInDomain = (host: PlacementHost) => fabricDomainOf(host) === domain;
  const contributors = broken.filter(({ condition }) => condition.survivors.some(isInDomain));
  const [first] = contributors;
  if (first === undefined) {
    return [];
  }
  const { declaration } = first;
  const wanted = declaration.replicaSize;
  let available = plan.findSpares(declaration).filter(isInDomain).length;
  const chosen: BrokenGroup[] = [];
  for (const candidate of contributors) {
    if (available < wanted) {
      chosen.push(candidate);
      available += candidate.condition.survivors.filter(isInDomain).length;
    }
  }
  return available < wanted ? [] : chosen;
}

/** Completes one group with spares and the members of donors in its fabric domain; donors are taken from the end of the list. */
function mergeInto(plan: WorkingPlan, target: BrokenGroup, others: BrokenGroup[]): boolean {
  const { declaration, condition } = target;
  const missing = declaration.replicaSize - condition.survivors.length;
  const home = homeOf(condition.survivors);
  const isNear = (host: PlacementHost) =>
    fabricDomainOf(host) === home && !condition.survivors.includes(host);
  let available = plan.findSpares(declaration).filter(isNear).length;
  const donors: BrokenGroup[] = [];
  for (const candidate of [...others].reverse()) {
    const given = candidate.condition.survivors.filter(isNear).length;
    if (available < missing && given > 0) {
      donors.push(candidate);
      available += given;
    }
  }
  if (available < missing) {
    return false;
  }
  for (const donor of donors) {
    others.splice(others.indexOf(donor), 1);
    plan.dissolve(donor.group.name);
  }
  const joining = plan.findSpares(declaration).filter(isNear).slice(0, missing);
  placeMembers(plan, target, [...condition.survivors, ...joining]);
  plan.note({ type: 'merged', group: target.group.name });
  return true;
}

/**
 * Gives a group that is loading its place back to a spare that has loaded already.
 * A lost host whose place a spare took may return with its weights while the spare still loads: whichever is
 * ready first serves.
 */
export function swapLoadingMembers(
  plan: WorkingPlan,
  group: Group,
  declaration: GroupDeclaration,
): void {
  const members = group.members.map((member) => plan.hosts.get(member.host));
  const present = members.filter((host) => host !== undefined);
  const home = homeOf(present);
  const loaded = plan
    .findSpares(declaration)
    .filter((host) => hasLoaded(host, declaration.carries) && fabricDomainOf(host) === home);
  const loading = present.filter((host) => !hasLoaded(host, declaration.carries));
  if (loading.length === 0 || loaded.length < loading.length) {
    return;
  }
  const kept = present.filter((host) => !loading.includes(host));
  const condition: BrokenCondition = { type: 'broken', survivors: kept, expectedReturn: Infinity };
  placeMembers(plan, { group, declaration, condition }, [
    ...kept,
    ...loaded.slice(0, loading.length),
  ]);
  plan.note({ type: 'repaired', group: group.name });
}

function placeMembers(
  plan: WorkingPlan,
  { group, declaration }: BrokenGroup,
  members: readonly PlacementHost[],
): void {
  plan.place(
    {
      name: group.name,
      declaration: declaration.name,
      members: members.map(toMember),
      offer: { type: 'model', artifact: declaration.carries },
    },
    members,
  );
}

/** The fabric domain that most of the hosts are in. */
function homeOf(hosts: readonly PlacementHost[]): string | undefined {
  const domains = [...groupByFabricDomain(hosts)];
  domains.sort(
    ([leftName, left], [rightName, right]) =>
      right.length - left.length || compareNames(leftName, rightName),
  );
  return domains[0]?.[0];
}

function compareBroken(left: BrokenGroup, right: BrokenGroup): number {
  const missing = countMissing(left) - countMissing(right);
  return missing === 0 ? compareNames(left.group.name, right.group.name) : missing;
}

function countMissing({ declaration, condition }: BrokenGroup): number {
  return declaration.replicaSize - condition.survivors.length;
}
