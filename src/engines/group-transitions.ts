import type { Milliseconds } from '../common/index.js';
import {
  isSameInstance,
  type EngineGroup,
  type EngineMember,
  type EngineMembership,
} from '../routing/index.js';
import { determineEngineStatus } from './engine-status.js';
import { isEvacuated } from './evacuated-groups.js';
import type { EngineView, GroupAdvance, GroupRemoval, GroupView, PlannerInput } from './types.js';

/** Decides the next phase of each placed group, or its removal. */

/** A draining group is closed after this time even if it is not idle, because an engine that shuts down serves for about 2 s more. */
const drainTimeout: Milliseconds = 1800;
/** Within this time, gateways learn of a drain and the requests that they sent before have arrived. */
const drainPropagationTime: Milliseconds = 100;
/** A joining group is removed after this time if nothing is known about one of its members. */
const unknownMemberTimeout: Milliseconds = 5000;
/** An engine that shuts down may refuse connections while it finishes its work, for this long at most. */
const shutdownTimeout: Milliseconds = 10_000;

/** What is to happen to one group. */
export type GroupTransition =
  | { readonly type: 'keep' }
  | { readonly type: 'advance'; readonly advance: GroupAdvance }
  | { readonly type: 'remove'; readonly removal: GroupRemoval };

/**
 * What is known about a member. `lost`: it is no longer in the group. `leaving`: it is shutting down. `silent`: it does not answer, so
 * the group should be closed, but the member may still be serving. `unknown`: nothing is known, so no action follows.
 */
type MemberStatus = 'present' | 'lost' | 'leaving' | 'silent' | 'unknown';

const keep: GroupTransition = { type: 'keep' };

export function decideTransition(view: GroupView, input: PlannerInput): GroupTransition {
  const { group } = view;
  const evacuated = isEvacuated(group, input) ? decideEvacuatedTransition(group) : undefined;
  if (evacuated !== undefined) {
    return evacuated;
  }
  const statuses = group.members.map((member) => determineMemberStatus(member, group, input));
  switch (group.phase) {
    case 'joining':
      return decideJoiningTransition(view, statuses, input);
    case 'opening':
      return decideOpeningTransition(group, statuses, input);
    case 'open':
      return decideOpenTransition(group, statuses, input);
    case 'draining':
      return decideDrainingTransition(view, statuses, input);
    case 'closing':
      return decideClosingTransition(view, input);
  }
}

/**
 * The membership that an engine reports in this placement of the group.
 * Undefined if the engine reports another group, no group, or if there is no reading.
 */
export function findMembership(
  group: EngineGroup,
  view: EngineView | undefined,
): EngineMembership | undefined {
  const membership = view?.facts.reading?.membership;
  const isThis =
    membership?.group === group.name && membership.fencingNumber === group.fencingNumber;
  return isThis ? membership : undefined;
}

function determineMemberStatus(
  member: EngineMember,
  group: EngineGroup,
  input: PlannerInput,
): MemberStatus {
  const view = input.engines.get(member.host);
  const status = determineEngineStatus(view);
  switch (status.type) {
    case 'unknown':
      return 'unknown';
    case 'silent':
      return 'silent';
    case 'ended':
      return 'lost';
    case 'answering':
      if (!isSameInstance(status.reading.instance, member.instance) || hasLeftGroup(group, view)) {
        return 'lost';
      }
      return input.leaving.has(member.instance) ? 'leaving' : 'present';
  }
}

/**
 * Whether a member that was ready in the group is no longer in it.
 * An engine that restarted or executed a delayed order no longer computes for the group. The head does not report this for several
 * seconds, during which all its streams are stalled.
 */
function hasLeftGroup(group: EngineGroup, view: EngineView | undefined): boolean {
  switch (group.phase) {
    case 'joining':
    case 'closing':
      return false;
    case 'opening':
    case 'open':
    case 'draining':
      return findMembership(group, view) === undefined;
  }
}

/** A group that does not serve yet is given up. Undefined if the group has served; when it is drained depends on other groups. */
function decideEvacuatedTransition(group: EngineGroup): GroupTransition | undefined {
  switch (group.phase) {
    case 'joining':
      return remove(group, 'its failure domain is evacuated');
    case 'opening':
      return advance(group, 'closing', 'its failure domain is evacuated');
    case 'open':
    case 'draining':
    case 'closing':
      return undefined;
  }
}

/** A joining group was never ordered to open, so it can be removed at any time. */
function decideJoiningTransition(
  { group, phaseAge }: GroupView,
  statuses: readonly MemberStatus[],
  input: PlannerInput,
): GroupTransition {
  if (statuses.includes('lost')) {
    return remove(group, 'a member was lost before the group opened');
  }
  if (statuses.includes('leaving')) {
    return remove(group, 'a member is shutting down before the group opened');
  }
  if (statuses.includes('silent')) {
    return remove(group, 'a member does not answer before the group opened');
  }
  if (statuses.includes('unknown')) {
    const isTimedOut = phaseAge > unknownMemberTimeout;
    return isTimedOut ? remove(group, 'nothing is known about a member') : keep;
  }
  const isReady = group.members.every((member) => {
    return findMembership(group, input.engines.get(member.host))?.state === 'ready';
  });
  return isReady ? advance(group, 'opening', 'all members are ready') : keep;
}

function decideOpeningTransition(
  group: EngineGroup,
  statuses: readonly MemberStatus[],
  input: PlannerInput,
): GroupTransition {
  const lossReason = findLossReason(statuses);
  if (lossReason !== undefined) {
    return advance(group, 'closing', lossReason);
  }
  const state = findMembership(group, findHead(group, input))?.state;
  return state === 'open' ? advance(group, 'open', 'the head is open') : keep;
}

function decideOpenTransition(
  group: EngineGroup,
  statuses: readonly MemberStatus[],
  input: PlannerInput,
): GroupTransition {
  if (statuses.includes('lost')) {
    return advance(group, 'closing', 'a member was lost');
  }
  if (statuses.includes('silent')) {
    return advance(group, 'closing', 'a member does not answer');
  }
  if (statuses.includes('leaving')) {
    return advance(group, 'draining', 'a member is shutting down');
  }
  const head = findHead(group, input);
  if (determineEngineStatus(head).type !== 'answering') {
    return keep;
  }
  switch (findMembership(group, head)?.state) {
    case 'open':
    case 'closing':
    case 'joining':
      return keep;
    case 'ready':
      return advance(group, 'opening', 'the head was closed by a delayed order');
    case 'broken':
      return advance(group, 'closing', 'the head is broken');
    case undefined:
      return advance(group, 'closing', 'the head is in another group');
  }
}

function decideDrainingTransition(
  { group, phaseAge }: GroupView,
  statuses: readonly MemberStatus[],
  input: PlannerInput,
): GroupTransition {
  if (statuses.includes('lost')) {
    return advance(group, 'closing', 'a member was lost');
  }
  if (statuses.includes('silent')) {
    return advance(group, 'closing', 'a member does not answer');
  }
  const isIdle = isIdleSince(findHead(group, input), phaseAge);
  if (isIdle || phaseAge > drainTimeout) {
    return advance(group, 'closing', isIdle ? 'drained' : 'the drain took too long');
  }
  return keep;
}

/**
 * Frees the members once the head can no longer be open.
 * If an engine joined another group while the head of its own group is open or hangs, a replica that still accepts requests would be
 * split: answers would come from a part of the model. Only a report from the head itself, or its end, proves that it is not open.
 * A missing report or an unresponsive head proves nothing.
 */
function decideClosingTransition(
  { group, phaseAge }: GroupView,
  input: PlannerInput,
): GroupTransition {
  const [head] = group.members;
  const view = findHead(group, input);
  const status = determineEngineStatus(view);
  switch (status.type) {
    case 'unknown':
    case 'silent':
      return keep;
    case 'ended': {
      const isShuttingDown = head !== undefined && input.leaving.has(head.instance);
      return isShuttingDown && phaseAge <= shutdownTimeout
        ? keep
        : remove(group, 'the head has ended');
    }
    case 'answering':
      if (head === undefined || !isSameInstance(status.reading.instance, head.instance)) {
        return remove(group, 'the head was replaced by another instance');
      }
      return decideByHeadState(group, findMembership(group, view)?.state);
  }
}

function decideByHeadState(
  group: EngineGroup,
  state: EngineMembership['state'] | undefined,
): GroupTransition {
  switch (state) {
    case undefined:
      return remove(group, 'the head left the group');
    case 'broken':
      return remove(group, 'the head is broken');
    case 'joining':
    case 'ready':
    case 'open':
    case 'closing':
      return keep;
  }
}

/**
 * Whether the head reported that it is idle after gateways had learned of the drain. An earlier report may be a second old; closing the
 * group based on it would interrupt the requests that were sent since.
 */
function isIdleSince(head: EngineView | undefined, phaseAge: Milliseconds): boolean {
  if (head === undefined || head.reportAge + drainPropagationTime > phaseAge) {
    return false;
  }
  const { reading } = head.facts;
  return reading !== undefined && reading.running + reading.waiting === 0;
}

function findHead(group: EngineGroup, input: PlannerInput): EngineView | undefined {
  return input.engines.get(group.members[0]?.host ?? '');
}

function findLossReason(statuses: readonly MemberStatus[]): string | undefined {
  if (statuses.includes('lost')) {
    return 'a member was lost while the group opened';
  }
  if (statuses.includes('silent')) {
    return 'a member does not answer while the group opens';
  }
  return statuses.includes('leaving')
    ? 'a member is shutting down while the group opens'
    : undefined;
}

function advance(
  group: EngineGroup,
  phase: GroupAdvance['phase'],
  reason: string,
): GroupTransition {
  return { type: 'advance', advance: { name: group.name, phase, reason } };
}

function remove({ name }: EngineGroup, reason: string): GroupTransition {
  return { type: 'remove', removal: { name, reason } };
}
