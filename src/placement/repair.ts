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

/** Repairs broken groups: with spares of their fabric domain, then by merging them, finally with spares of other fabric domains. */

/** A broken group with its declaration. */
export interface BrokenGroup {
  readonly group: Group;
  readonly declaration: GroupDeclaration;
  readonly condition: BrokenCondition;
}

/**
 * Repairs groups with spares of their fabric domain and returns those that are still broken.
 * First dissolves broken groups that span fabric domains where a group within one domain can be formed instead.
 * Groups that miss the fewest members are repaired first, so that the available spares restore the most groups.
 */
export function repairGroups(
  plan: WorkingPlan,
  broken: readonly BrokenGroup[],
): readonly BrokenGroup[] {
  const spanning = broken.filter(
    (candidate) => spansFabricDomains(candidate) && !isReturnExpectedSooner(plan, candidate),
  );
  const left = dissolveForNewGroups(plan, spanning);
  return broken
    .filter((candidate) => !spanning.includes(candidate) || left.includes(candidate))
    .sort(compareBroken)
    .filter((candidate) => !tryRepair(plan, candidate, 'fabricDomain'));
}

/** Repairs with spares of any fabric domain of the region; the last resort, after repair and merging within a domain. */
export function repairAcross(
  plan: WorkingPlan,
  broken: readonly BrokenGroup[],
): readonly BrokenGroup[] {
  return [...broken]
    .sort(compareBroken)
    .filter((candidate) => !tryRepair(plan, candidate, 'region'));
}

/**
 * Merges groups that spares cannot repair and returns those that are still broken.
 * Groups are merged only within one declaration and one fabric domain; those that miss the most members give theirs
 * to those that miss the fewest.
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

/** Whether the lost members are expected back before a replacement would serve; such a group is left unchanged. */
export function isWorthWaiting(
  expectedReturn: Milliseconds,
  loads: number,
  estimates: PlacementEstimates,
): boolean {
  const loading = loads === 0 ? 0 : estimates.loadDuration;
  return expectedReturn <= estimates.handover + loading;
}

/** Whether the lost members are expected back before the surviving members would have loaded and served in another group. */
function isReturnExpectedSooner(
  plan: WorkingPlan,
  { condition, declaration }: BrokenGroup,
): boolean {
  const loads = countLoads(condition.survivors, declaration.carries);
  return isWorthWaiting(condition.expectedReturn, loads, plan.input.estimates);
}

function spansFabricDomains({ condition }: BrokenGroup): boolean {
  return groupByFabricDomain(condition.survivors).size > 1;
}

function tryRepair(plan: WorkingPlan, broken: BrokenGroup, scope: ReplacementScope): boolean {
  const { declaration, condition, group } = broken;
  const missing = declaration.replicaSize - condition.survivors.length;
  const replacements = chooseReplacements(plan, broken, missing, scope);
  if (condition.survivors.length === 0 || replacements === undefined) {
    return false;
  }
  const members = [...condition.survivors, ...replacements];
  const loads = countLoads(members, declaration.carries);
  if (isWorthWaiting(condition.expectedReturn, loads, plan.input.estimates)) {
    plan.addNote({ type: 'waitingForReturn', group: group.name });
    return true;
  }
  if (!plan.hasLoadBudget(countLoads(replacements, declaration.carries))) {
    plan.addNote({ type: 'loadBudgetSpent', declaration: declaration.name });
    return true;
  }
  placeMembers(plan, broken, members);
  plan.addNote({ type: 'repaired', group: group.name });
  return true;
}

/** Where replacement hosts may come from. */
type ReplacementScope = 'fabricDomain' | 'region';

/** Chooses spares of the survivors' fabric domain first, then, if the scope allows, of their region. */
function chooseReplacements(
  plan: WorkingPlan,
  { declaration, condition }: BrokenGroup,
  missing: number,
  scope: ReplacementScope,
): readonly PlacementHost[] | undefined {
  const { survivors } = condition;
  const home = mainFabricDomainOf(survivors);
  const region = survivors[0]?.facts.region;
  const spares = plan.findSpares(declaration).filter((host) => !survivors.includes(host));
  const near = spares.filter((host) => fabricDomainOf(host) === home);
  const far = spares.filter((host) => !near.includes(host) && host.facts.region === region);
  const candidates = scope === 'region' ? [...near, ...far] : near;
  return candidates.length < missing ? undefined : candidates.slice(0, missing);
}

/** `pool` is sorted: groups that miss the fewest members come first. */
function mergePool(plan: WorkingPlan, pool: readonly BrokenGroup[]): readonly BrokenGroup[] {
  const replaceable = pool.filter((candidate) => !isReturnExpectedSooner(plan, candidate));
  const left = pool.filter((candidate) => !replaceable.includes(candidate));
  for (const { group } of left) {
    plan.addNote({ type: 'waitingForReturn', group: group.name });
  }
  const targets = [...replaceable];
  const unmerged: BrokenGroup[] = [];
  for (let target = targets.shift(); target !== undefined; target = targets.shift()) {
    if (!mergeInto(plan, target, targets)) {
      unmerged.push(target);
    }
  }
  return [...left, ...dissolveForNewGroups(plan, unmerged)];
}

/**
 * Dissolves groups whose survivors in some fabric domain, together with its spares, suffice for a new group there.
 * This is for groups that span fabric domains: their survivors may complete a group in a domain other than their main one.
 */
function dissolveForNewGroups(
  plan: WorkingPlan,
  broken: readonly BrokenGroup[],
): readonly BrokenGroup[] {
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

/** Takes groups in order until they supply the hosts that the domain's spares lack; none if all of them are not enough. */
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

/** Completes one group with spares and members of donor groups in its fabric domain; donors are taken from the end of the list. */
function mergeInto(plan: WorkingPlan, target: BrokenGroup, others: BrokenGroup[]): boolean {
  const { declaration, condition } = target;
  const missing = declaration.replicaSize - condition.survivors.length;
  const home = mainFabricDomainOf(condition.survivors);
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
  plan.addNote({ type: 'merged', group: target.group.name });
  return true;
}

/**
 * Replaces members that are still loading by spares that have already loaded.
 * A lost host may return with its weights loaded while the spare that replaced it is still loading; whichever is
 * ready first is used.
 */
export function swapLoadingMembers(
  plan: WorkingPlan,
  group: Group,
  declaration: GroupDeclaration,
): void {
  const members = group.members.map((member) => plan.hosts.get(member.host));
  const present = members.filter((host) => host !== undefined);
  const home = mainFabricDomainOf(present);
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
  plan.addNote({ type: 'repaired', group: group.name });
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

/** The fabric domain that contains most of the hosts. */
function mainFabricDomainOf(hosts: readonly PlacementHost[]): string | undefined {
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
