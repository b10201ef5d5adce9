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
 * Finished groups are dissolved first, then broken groups are repaired or merged, then new groups are formed from the
 * remaining hosts, and last, groups that no longer match their declaration are drained.
 * A complete group that still matches its declaration is never changed.
 */
export function planPlacement(input: PlacementInput): PlacementDecision {
  const plan = new WorkingPlan(dropStaleHealth(input));
  placeServices(plan);
  const inspected = inspectModelGroups(plan);
  for (const { placed, condition } of inspected) {
    if (condition.type === 'finished') {
      plan.dissolve(placed.group.name);
    }
  }
  for (const kept of inspected.filter(isKept)) {
    refreshMembers(plan, kept);
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
 * Updates a group that is not serving yet: renews outdated addresses and lead incarnations, and replaces loading members
 * by loaded spares. With a member at an old address, or a lead under an earlier incarnation, it would never serve.
 */
function refreshMembers(plan: WorkingPlan, { placed, declaration }: InspectedGroup): void {
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
    plan.addNote({ type: 'renewed', group: name });
    return;
  }
  swapLoadingMembers(plan, group, declaration);
}

/** Repairs, then merges broken groups; does nothing while control suspects that it is isolated itself. */
function repairBroken(
  plan: WorkingPlan,
  inspected: readonly InspectedGroup[],
): readonly BrokenGroup[] {
  const broken = inspected.flatMap(({ placed, declaration, condition }): BrokenGroup[] =>
    condition.type === 'broken' && declaration !== undefined
      ? [{ group: placed.group, declaration, condition }]
      : [],
  );
  if (plan.input.isIsolationSuspected) {
    return broken;
  }
  return mergeGroups(plan, repairGroups(plan, broken));
}

/** Repairs groups with hosts of other fabric domains, for declarations that still need more groups. */
function repairAcrossDomains(
  plan: WorkingPlan,
  demands: readonly Demand[],
  stillBroken: readonly BrokenGroup[],
): void {
  if (plan.input.isIsolationSuspected) {
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

/** Collects the groups that count towards each declaration: kept, repaired, or waiting for a member to return. */
function countDemands(
  plan: WorkingPlan,
  inspected: readonly InspectedGroup[],
  stillBroken: readonly BrokenGroup[],
): readonly Demand[] {
  const lost = new Set(stillBroken.map(({ group }) => group.name));
  return plan.input.configuration.groups.map((declaration) => {
    const groups = inspected
      .filter(({ placed, condition }) => {
        const isActive = condition.type === 'kept' || condition.type === 'broken';
        const isOwn = placed.group.declaration === declaration.name;
        return (
          isOwn && isActive && !lost.has(placed.group.name) && !plan.isDissolved(placed.group.name)
        );
      })
      .map(({ placed }) => findMembers(plan, placed.group));
    return { declaration, groups };
  });
}

/**
 * Dissolves groups with a member that is not expected back.
 * The survivors become spares for any declaration. If the lost host does return, the group can form again without loading.
 */
function dissolveLost(plan: WorkingPlan, stillBroken: readonly BrokenGroup[]): void {
  for (const { group, condition } of stillBroken) {
    if (condition.expectedReturn < Infinity || plan.input.isIsolationSuspected) {
      plan.addNote({ type: 'noSpare', group: group.name });
    } else {
      plan.dissolve(group.name);
    }
  }
}

/** Dissolves broken groups once enough other groups have replaced them. */
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
 * Drains groups that no longer match their declaration, a few at a time.
 * A group that is only being replaced (new artifact, other hosts) keeps serving until earlier replacements serve,
 * so that a configuration change does not take down all groups of a declaration at once.
 */
function drainUnwanted(plan: WorkingPlan, inspected: readonly InspectedGroup[]): void {
  for (const { placed, declaration, condition } of inspected) {
    if (condition.type !== 'unwanted') {
      continue;
    }
    const isUrgent =
      declaration === undefined || !isServing(placed) || hasLeavingMember(plan, placed.group);
    const limit = transitionLimit(plan, declaration?.replicaSize ?? 1);
    if (isUrgent || countInTransition(plan, inspected, placed.group.declaration) < limit) {
      plan.drain(placed.group);
    }
  }
}

/**
 * How many groups of a declaration may be replaced at once.
 * One at a time costs the least downtime, but hosts of old groups that are wanted elsewhere stay unavailable the longest.
 */
function transitionLimit(plan: WorkingPlan, replicaSize: number): number {
  const { policy } = plan.input.configuration;
  if (policy.groupDowntimeWeight >= policy.strandedAcceleratorWeight * replicaSize) {
    return 1;
  }
  return Math.max(1, Math.floor(policy.concurrentLoads / replicaSize));
}

/** Number of groups of a declaration that are draining or not serving yet. */
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

/** Drops health reports that refer to an earlier placement of the group. */
function dropStaleHealth(input: PlacementInput): PlacementInput {
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
