import type { GroupDeclaration } from '../model/index.js';
import { isWorthForming } from './cost.js';
import { fabricDomainOf, failureDomainOf } from './host-facts.js';
import type { PlacementHost } from './types.js';
import {
  compareNames,
  countLoads,
  groupByFabricDomain,
  toMember,
  type WorkingPlan,
} from './working-plan.js';

/** Forms new groups from spares: within a fabric domain first, then across domains where the policy allows it. */

/** A declaration with the groups that count towards it. */
export interface Demand {
  readonly declaration: GroupDeclaration;
  /** Members of its groups, including those formed in this decision. */
  readonly groups: (readonly PlacementHost[])[];
}

/**
 * Forms groups within fabric domains until no declaration can get another.
 * The declaration with the lowest share of its wanted groups comes first.
 */
export function formWithin(plan: WorkingPlan, demands: readonly Demand[]): void {
  formInTurn(plan, demands, (demand) => chooseWithin(plan, demand));
}

/** Forms groups that span several fabric domains of a region from the remaining spares. */
export function formAcross(plan: WorkingPlan, demands: readonly Demand[]): void {
  formInTurn(plan, demands, (demand) => chooseAcross(plan, demand, demands));
}

function formInTurn(
  plan: WorkingPlan,
  demands: readonly Demand[],
  choose: (demand: Demand) => readonly PlacementHost[] | undefined,
): void {
  let open = demands.filter(isMoreWanted);
  while (open.length > 0) {
    const demand = open.reduce((left, right) =>
      satisfiedShareOf(right) < satisfiedShareOf(left) ? right : left,
    );
    const members = choose(demand);
    const isFormed = members !== undefined && tryForm(plan, demand, members);
    open = open.filter(
      (candidate) => isMoreWanted(candidate) && (candidate !== demand || isFormed),
    );
  }
}

function tryForm(plan: WorkingPlan, demand: Demand, members: readonly PlacementHost[]): boolean {
  const { declaration } = demand;
  if (!plan.hasLoadBudget(countLoads(members, declaration.carries))) {
    plan.addNote({ type: 'loadBudgetSpent', declaration: declaration.name });
    return false;
  }
  const name = plan.nextGroupName(declaration.name);
  plan.place(
    {
      name,
      declaration: declaration.name,
      members: members.map(toMember),
      offer: { type: 'model', artifact: declaration.carries },
    },
    members,
  );
  demand.groups.push(members);
  plan.addNote({ type: 'formed', group: name });
  return true;
}

/**
 * Chooses hosts of one fabric domain: the one that needs the fewest loads; then the one whose failure domain has the
 * fewest groups of the declaration; then the one with the most spares.
 */
function chooseWithin(plan: WorkingPlan, demand: Demand): readonly PlacementHost[] | undefined {
  const { declaration } = demand;
  const size = declaration.replicaSize;
  const groupsByDomain = countGroups(demand.groups);
  const choices = [...groupByFabricDomain(plan.findSpares(declaration))]
    .filter(([, hosts]) => hosts.length >= size)
    .map(([domain, hosts]) => {
      const members = hosts.slice(0, size);
      const loads = countLoads(members, declaration.carries);
      const groups =
        members[0] === undefined ? 0 : (groupsByDomain.get(failureDomainOf(members[0])) ?? 0);
      return { domain, members, loads, groups, spares: hosts.length };
    });
  choices.sort(
    (left, right) =>
      left.loads - right.loads ||
      left.groups - right.groups ||
      right.spares - left.spares ||
      compareNames(left.domain, right.domain),
  );
  return choices[0]?.members;
}

/** Chooses hosts of one region, from as few fabric domains as possible, if that is worth the spares it uses. */
function chooseAcross(
  plan: WorkingPlan,
  demand: Demand,
  demands: readonly Demand[],
): readonly PlacementHost[] | undefined {
  const { declaration } = demand;
  const spares = plan.findSpares(declaration);
  const regions = [...new Set(spares.map((host) => host.facts.region))].sort(compareNames);
  for (const region of regions) {
    const domains = groupByFabricDomain(spares.filter((host) => host.facts.region === region));
    const ordered = [...domains.values()].sort((left, right) => right.length - left.length).flat();
    const members = ordered.slice(0, declaration.replicaSize);
    if (members.length < declaration.replicaSize) {
      continue;
    }
    const { policy } = plan.input.configuration;
    const hostsInGroups = countGroupHosts(demands);
    if (isWorthForming(members, domains, hostsInGroups, policy, plan.input.estimates)) {
      return members;
    }
    plan.addNote({ type: 'heldBackAsSpares', declaration: declaration.name });
  }
  return undefined;
}

function countGroups(groups: readonly (readonly PlacementHost[])[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const [first] of groups) {
    if (first !== undefined) {
      const domain = failureDomainOf(first);
      counts.set(domain, (counts.get(domain) ?? 0) + 1);
    }
  }
  return counts;
}

function countGroupHosts(demands: readonly Demand[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const host of demands.flatMap((demand) => demand.groups.flat())) {
    const domain = fabricDomainOf(host);
    counts.set(domain, (counts.get(domain) ?? 0) + 1);
  }
  return counts;
}

/** Whether the declaration wants another group. */
export function isMoreWanted({ declaration, groups }: Demand): boolean {
  return declaration.replicas === undefined || groups.length < declaration.replicas;
}

/** Share of the wanted groups that exist; without a replica count, each further group raises the share by less. */
function satisfiedShareOf({ declaration, groups }: Demand): number {
  return declaration.replicas === undefined
    ? groups.length / (groups.length + 1)
    : groups.length / Math.max(1, declaration.replicas);
}
