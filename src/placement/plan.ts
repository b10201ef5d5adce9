import {
  findLead,
  type DeclarationName,
  type Group,
  type GroupDeclaration,
} from '../model/index.js';
import { formAcross, formWithin, isMoreWanted, type Demand } from './forming.js';
import { inspectGroup, type GroupCondition } from './inspection.js';
import {
  mergeGroups,
  repairAcross,
  repairGroups,
  swapLoadingMembers,
  type BrokenGroup,
} from './repair.js';
import { placeServices } from './services.js';
import type { PlacedGroup, PlacementDecision, PlacementHost, PlacementInput } from './types.js';
import { toMember, WorkingPlan } from './working-plan.js';

/**
 * Decides which hosts form which groups.
 * Order: what is over or unwanted goes, broken groups are repaired or merged, new ones are formed from what is left.
 * A whole group that operators still want is never touched.
 */
export function planPlacement(input: PlacementInput): PlacementDecision {
  const plan = new WorkingPlan(dropOldHealth(input));
  placeServices(plan);
  const inspected = inspectModelGroups(plan);
  for (const { placed, condition } of inspected) {
    if (condition.type === 'over') {
      plan.dissolve(placed.group.name);
    }
  }
  for (const one of inspected.filter(isKept)) {
    refreshKept(plan, one);
  }
  const stillBroken = repairBroken(plan, inspected);
  dissolveLost(plan, stillBroken);
  const demands = countDemands(plan, inspected, stillBroken);
  formWithin(plan, demands);
  if (input.configuration.policy.allowAcrossFabricDomains) {
    repairAcrossDomains(plan, demands, stillBroken);
    formAcross(plan, demands);
  }
  dissolveReplaced(plan, demands, stillBroken);
  drainUnwanted(plan, inspected);
  return plan.finish();
}

interface InspectedGroup {
  readonly placed: PlacedGroup;
  readonly declaration: GroupDeclaration | undefined;
  readonly condition: GroupCondition;
}

function inspectModelGroups(plan: WorkingPlan): readonly InspectedGroup[] {
  const declarations = new Map<DeclarationName, GroupDeclaration>(
    plan.input.configuration.groups.map((declaration) => [declaration.name, declaration]),
  );
  return plan.input.groups
    .filter(({ group }) => group.offer.type === 'model')
    .map((placed) => {
      const declaration = declarations.get(placed.group.declaration);
      return { placed, declaration, condition: inspectGroup(placed, declaration, plan.hosts) };
    });
}

function isKept({ condition }: InspectedGroup): boolean {
  return condition.type === 'kept';
}

/**
 * A group on its way to serve takes loaded spares for members that still load, and what its members are now:
 * a member reached at an old address, or a lead named by an earlier start, would never serve.
 */
function refreshKept(plan: WorkingPlan, { placed, declaration }: InspectedGroup): void {
  const { group, health } = placed;
  if (health?.isServing === true || declaration === undefined) {
    return;
  }
  const hosts = findMembers(plan, group);
  const hasMoved = group.members.some(
    (member, index) => hosts[index]?.facts.address !== member.address,
  );
  const hasNewLead = hosts[0]?.facts.incarnation !== findLead(group).incarnation;
  if (hasMoved || hasNewLead) {
    const { name, offer } = group;
    plan.place({ name, declaration: declaration.name, members: hosts.map(toMember), offer }, hosts);
    plan.note({ type: 'renewed', group: name });
    return;
  }
  swapLoadingMembers(plan, group, declaration);
}

/** Repairs, then merges; a control host that suspects itself acts on no loss. */
function repairBroken(
  plan: WorkingPlan,
  inspected: readonly InspectedGroup[],
): readonly BrokenGroup[] {
  const broken = inspected.flatMap(({ placed, declaration, condition }): BrokenGroup[] =>
    condition.type === 'broken' && declaration !== undefined
      ? [{ group: placed.group, declaration, condition }]
      : [],
  );
  if (plan.input.isWatcherSuspected) {
    return broken;
  }
  return mergeGroups(plan, repairGroups(plan, broken));
}

/** Groups that nothing in their own fabric domain could bring back, as far as they are still wanted. */
function repairAcrossDomains(
  plan: WorkingPlan,
  demands: readonly Demand[],
  stillBroken: readonly BrokenGroup[],
): void {
  if (plan.input.isWatcherSuspected) {
    return;
  }
  for (const broken of stillBroken) {
    const demand = demands.find(({ declaration }) => declaration === broken.declaration);
    const isOpen = demand !== undefined && isMoreWanted(demand);
    if (!isOpen || plan.isDissolved(broken.group.name)) {
      continue;
    }
    const [left] = repairAcross(plan, [broken]);
    if (left === undefined) {
      demand.groups.push(broken.condition.survivors);
    }
  }
}

/** Groups that count towards what a declaration wants: kept, repaired, or worth waiting for. */
function countDemands(
  plan: WorkingPlan,
  inspected: readonly InspectedGroup[],
  stillBroken: readonly BrokenGroup[],
): readonly Demand[] {
  const lost = new Set(stillBroken.map(({ group }) => group.name));
  return plan.input.configuration.groups.map((declaration) => {
    const groups = inspected
      .filter(({ placed, condition }) => {
        const isStanding = condition.type === 'kept' || condition.type === 'broken';
        const isOwn = placed.group.declaration === declaration.name;
        return (
          isOwn &&
          isStanding &&
          !lost.has(placed.group.name) &&
          !plan.isDissolved(placed.group.name)
        );
      })
      .map(({ placed }) => findMembers(plan, placed.group));
    return { declaration, groups };
  });
}

/**
 * Dissolves groups that a member will not come back to.
 * What is left of them are spares for any declaration; when the lost host returns after all, they form again without a load.
 */
function dissolveLost(plan: WorkingPlan, stillBroken: readonly BrokenGroup[]): void {
  for (const { group, condition } of stillBroken) {
    if (condition.expectedReturn < Infinity || plan.input.isWatcherSuspected) {
      plan.note({ type: 'noSpare', group: group.name });
    } else {
      plan.dissolve(group.name);
    }
  }
}

/** Dissolves broken groups once others have taken their place. */
function dissolveReplaced(
  plan: WorkingPlan,
  demands: readonly Demand[],
  stillBroken: readonly BrokenGroup[],
): void {
  const waiting = stillBroken.filter(
    ({ group }) => !plan.isDissolved(group.name) && !plan.isPlacedNow(group.name),
  );
  for (const { group, declaration } of waiting) {
    const demand = demands.find((candidate) => candidate.declaration === declaration);
    const standing = demand?.groups.length ?? 0;
    if (declaration.replicas !== undefined && standing >= declaration.replicas) {
      plan.dissolve(group.name);
    }
  }
}

/**
 * Drains what operators no longer want, a few groups at a time.
 * A group that is only to be exchanged (new artifact, other hosts) serves on until the groups that replace others
 * serve, so that a change of configuration does not take all groups of a declaration down at once.
 */
function drainUnwanted(plan: WorkingPlan, inspected: readonly InspectedGroup[]): void {
  for (const { placed, declaration, condition } of inspected) {
    if (condition.type !== 'unwanted') {
      continue;
    }
    const isUrgent =
      declaration === undefined || !isServing(placed) || hasLeavingMember(plan, placed.group);
    const limit = limitTransition(plan, declaration?.replicaSize ?? 1);
    if (isUrgent || countInTransition(plan, inspected, placed.group.declaration) < limit) {
      plan.drain(placed.group);
    }
  }
}

/**
 * How many groups of a declaration may be exchanged at once.
 * One at a time costs the least downtime, and leaves the hosts of an old group idle longest where they are wanted elsewhere.
 */
function limitTransition(plan: WorkingPlan, replicaSize: number): number {
  const { policy } = plan.input.configuration;
  if (policy.groupDowntimeWeight >= policy.strandedAcceleratorWeight * replicaSize) {
    return 1;
  }
  return Math.max(1, Math.floor(policy.concurrentLoads / replicaSize));
}

/** Groups of a declaration that are draining or do not serve yet. */
function countInTransition(
  plan: WorkingPlan,
  inspected: readonly InspectedGroup[],
  declaration: DeclarationName,
): number {
  const own = inspected.filter(({ placed }) => placed.group.declaration === declaration);
  const names = new Set(own.map(({ placed }) => placed.group.name));
  const present = own.filter(({ placed, condition }) => {
    const isInTransition =
      condition.type === 'draining' || (condition.type === 'kept' && !isServing(placed));
    return isInTransition || plan.isPlacedNow(placed.group.name);
  });
  return present.length + plan.countFormed(declaration, names);
}

/** What a lead said of a former placement says nothing of the present one. */
function dropOldHealth(input: PlacementInput): PlacementInput {
  const groups = input.groups.map(({ group, health, incompleteFor }) => ({
    group,
    incompleteFor,
    health: health?.fencingNumber === group.fencingNumber ? health : undefined,
  }));
  return { ...input, groups };
}

function isServing({ health }: PlacedGroup): boolean {
  return health?.isServing === true;
}

function hasLeavingMember(plan: WorkingPlan, group: Group): boolean {
  return findMembers(plan, group).some((host) => host.facts.isDraining);
}

function findMembers(plan: WorkingPlan, group: Group): readonly PlacementHost[] {
  return group.members
    .map((member) => plan.hosts.get(member.host))
    .filter((host) => host !== undefined);
}
