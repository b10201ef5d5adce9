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

/** The condition of a placed group, determined before any decision about it. */
export type GroupCondition =
  /** Serving, or starting up with all its members. */
  | { readonly type: 'kept' }
  /** Some members are unusable; the others could still serve. */
  | BrokenCondition
  /** No longer matches its declaration in members, artifact or size, whether or not it is complete. */
  | { readonly type: 'unwanted'; readonly hasDeclaration: boolean }
  /** Draining, with attempts still in flight. */
  | { readonly type: 'draining' }
  /** Has no attempts left that dissolving it could interrupt. */
  | { readonly type: 'finished' };

/** A group with missing members. */
export interface BrokenCondition {
  readonly type: 'broken';
  readonly survivors: readonly PlacementHost[];
  /** Expected time until all its lost members are back; infinite if one of them is gone for good. */
  readonly expectedReturn: Milliseconds;
}

/** Determines the condition of a placed model group. */
export function inspectGroup(
  placed: PlacedGroup,
  declaration: GroupDeclaration | undefined,
  hosts: ReadonlyMap<HostName, PlacementHost>,
): GroupCondition {
  const { group, health } = placed;
  const members = group.members.map((member) => hosts.get(member.host));
  const lead = hosts.get(findLead(group).host);
  const isLeadReporting = lead !== undefined && isReporting(lead);
  if (isLeadReporting && health?.isDrained === true) {
    return { type: 'finished' };
  }
  if (group.isDraining) {
    return isLost(lead) || hasRestarted(lead, group) ? { type: 'finished' } : { type: 'draining' };
  }
  if (declaration === undefined || !matchesDeclaration(group, declaration, members)) {
    return { type: 'unwanted', hasDeclaration: declaration !== undefined };
  }
  // The lead's report takes precedence: a serving group is complete even if control gets no reports from a member.
  if (isLeadReporting && health?.isServing === true) {
    return { type: 'kept' };
  }
  const condition = inspectMembers(members);
  return condition.type === 'kept' ? inspectConnectivity(placed, declaration, members) : condition;
}

/** Whether the members, artifact and size of a group still match its declaration. */
function matchesDeclaration(
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
  return { type: 'broken', survivors, expectedReturn: Math.max(...members.map(estimateReturn)) };
}

/**
 * Detects members that report to control but cannot be reached by their lead: a network partition between members,
 * which no host report shows. The outage is expected to last as long again as it has lasted so far, so a member is
 * replaced once a replacement would be ready within that time.
 */
function inspectConnectivity(
  { group, health, incompleteFor }: PlacedGroup,
  declaration: GroupDeclaration,
  members: readonly (PlacementHost | undefined)[],
): GroupCondition {
  const present = members.filter((host) => host !== undefined);
  const missing = present.filter((host) => health?.missing.includes(host.facts.host));
  const isLoading = missing.some((host) => !hasLoaded(host, declaration.carries));
  if (incompleteFor < unreachableThreshold || missing.length === 0 || isLoading) {
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

/** Longer than any wait for a lease to expire or after a restart. */
const unreachableThreshold: Milliseconds = 5000;

/** Expected time until a member is usable again; 0 if it is usable now. */
function estimateReturn(host: PlacementHost | undefined): Milliseconds {
  if (host === undefined) {
    return Infinity;
  }
  const { availability } = host;
  switch (availability.type) {
    case 'suspected':
      return availability.expectedReturn;
    case 'quarantined':
      // The host itself works: dissolving its group would leave the other members idle for the whole quarantine.
      return availability.expectedReturn;
    case 'present':
      return isUsable(host) ? 0 : Infinity;
    case 'gone':
      return Infinity;
    default:
      return assertNever(availability);
  }
}

function isReporting(host: PlacementHost): boolean {
  return host.availability.type === 'present' || host.availability.type === 'quarantined';
}

/** The attempts of the lead's previous incarnation ended with it, and no later incarnation will report the drain as finished. */
function hasRestarted(lead: PlacementHost | undefined, group: Group): boolean {
  return lead !== undefined && lead.facts.incarnation !== findLead(group).incarnation;
}

function isLost(host: PlacementHost | undefined): boolean {
  return host === undefined || host.availability.type === 'gone';
}
