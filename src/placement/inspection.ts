import { assertNever, type Milliseconds } from '../common/index.js';
import {
  findLead,
  isSameArtifact,
  type Group,
  type GroupDeclaration,
  type HostName,
} from '../model/index.js';
import { hasLoaded, isStillMeantFor, isUsable } from './host-facts.js';
import type { PlacedGroup, PlacementHost } from './types.js';

/** What a placed group is in, before anything is decided about it. */
export type GroupCondition =
  /** Serves, or is on its way there with all its members. */
  | { readonly type: 'kept' }
  /** Some members cannot work; the others could. */
  | BrokenCondition
  /** Whole or not, operators want it otherwise: its members, artifact or size no longer match. */
  | { readonly type: 'unwanted'; readonly hasDeclaration: boolean }
  /** Draining, with attempts that have not ended. */
  | { readonly type: 'draining' }
  /** Nothing is left in it that could be cut off. */
  | { readonly type: 'over' };

/** A group that lacks members. */
export interface BrokenCondition {
  readonly type: 'broken';
  readonly survivors: readonly PlacementHost[];
  /** Expected time until all its lost members are back; infinite when one is gone. */
  readonly expectedReturn: Milliseconds;
}

/** Says what each placed group of a model is in. */
export function inspectGroup(
  placed: PlacedGroup,
  declaration: GroupDeclaration | undefined,
  hosts: ReadonlyMap<HostName, PlacementHost>,
): GroupCondition {
  const { group, health } = placed;
  const members = group.members.map((member) => hosts.get(member.host));
  const lead = hosts.get(findLead(group).host);
  const isLeadHeard = lead !== undefined && isHeard(lead);
  if (isLeadHeard && health?.isDrained === true) {
    return { type: 'over' };
  }
  if (group.isDraining) {
    return isLost(lead) || hasRestarted(lead, group) ? { type: 'over' } : { type: 'draining' };
  }
  if (declaration === undefined || !isWanted(group, declaration, members)) {
    return { type: 'unwanted', hasDeclaration: declaration !== undefined };
  }
  // A group whose lead says it serves is whole, even if control hears nothing of some member.
  if (isLeadHeard && health?.isServing === true) {
    return { type: 'kept' };
  }
  const condition = inspectMembers(members);
  return condition.type === 'kept' ? inspectReach(placed, declaration, members) : condition;
}

/** Whether the members, artifact and size of a group are still what the declaration asks for. */
function isWanted(
  group: Group,
  declaration: GroupDeclaration,
  members: readonly (PlacementHost | undefined)[],
): boolean {
  const isArtifactWanted =
    group.offer.type === 'model' && isSameArtifact(group.offer.artifact, declaration.carries);
  const areMembersMeant = members.every(
    (host) => host === undefined || isStillMeantFor(host, declaration),
  );
  return isArtifactWanted && group.members.length === declaration.replicaSize && areMembersMeant;
}

function inspectMembers(members: readonly (PlacementHost | undefined)[]): GroupCondition {
  const present = members.filter((host) => host !== undefined);
  const survivors = present.filter(isUsable);
  if (survivors.length === members.length) {
    return { type: 'kept' };
  }
  return { type: 'broken', survivors, expectedReturn: Math.max(...members.map(expectReturn)) };
}

/**
 * A group may lack members that control hears well: a cut between them, which no report of a host shows.
 * What has lasted so long is expected to last as long again, so a replacement comes as soon as it would be ready by then.
 */
function inspectReach(
  { group, health, incompleteFor }: PlacedGroup,
  declaration: GroupDeclaration,
  members: readonly (PlacementHost | undefined)[],
): GroupCondition {
  const present = members.filter((host) => host !== undefined);
  const missing = present.filter((host) => health?.missing.includes(host.facts.host));
  const isLoading = missing.some((host) => !hasLoaded(host, declaration.carries));
  if (incompleteFor < unreachableAfter || missing.length === 0 || isLoading) {
    return { type: 'kept' };
  }
  const lead = present[0];
  const isLeadCutOff = present.length > 2 && missing.length >= present.length - 1;
  const survivors = isLeadCutOff
    ? present.filter((host) => host !== lead)
    : present.filter((host) => !missing.includes(host));
  const isNobodyLeft = survivors.length === 0 || findLead(group).host !== lead?.facts.host;
  return isNobodyLeft
    ? { type: 'kept' }
    : { type: 'broken', survivors, expectedReturn: incompleteFor };
}

/** Longer than any wait for a lease or after a restart. */
const unreachableAfter: Milliseconds = 5000;

/** Expected time until a member can work again; 0 for one that can. */
function expectReturn(host: PlacementHost | undefined): Milliseconds {
  if (host === undefined) {
    return Infinity;
  }
  const { availability } = host;
  switch (availability.type) {
    case 'suspected':
      return availability.expectedReturn;
    case 'quarantined':
      // The host works: dissolving its group for it would strand the others for the whole hold-back.
      return availability.expectedReturn;
    case 'present':
      return isUsable(host) ? 0 : Infinity;
    case 'gone':
      return Infinity;
    default:
      return assertNever(availability);
  }
}

function isHeard(host: PlacementHost): boolean {
  return host.availability.type === 'present' || host.availability.type === 'quarantined';
}

/** What a former start of the lead had in flight ended with it, and no later start will say that the drain is over. */
function hasRestarted(lead: PlacementHost | undefined, group: Group): boolean {
  return lead !== undefined && lead.facts.incarnation !== findLead(group).incarnation;
}

function isLost(host: PlacementHost | undefined): boolean {
  return host === undefined || host.availability.type === 'gone';
}
