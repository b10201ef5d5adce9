import type { Milliseconds } from '../common/index.js';
import {
  isSameInstance,
  type EngineGroup,
  type EngineMember,
  type EngineMembership,
} from '../routing/index.js';
import { judgeEngine } from './engine-standing.js';
import type { EngineView, GroupAdvance, GroupRemoval, GroupView, PlannerInput } from './types.js';

/** Decides what becomes of the groups that are placed. */

/** A draining group is closed after this time, whether or not it is idle: a leaving engine serves about 2 s more. */
const longestDrain: Milliseconds = 1800;
/** Gateways hear of a drain, and what they sent before arrives, within this time. */
const announcementTime: Milliseconds = 100;
/** A group that was never ordered to open and has a member that nobody hears of is given up after this time. */
const longestJoinWithoutWord: Milliseconds = 5000;
/** An engine that leaves may refuse connections while it still works, for this long at most. */
const longestLastWork: Milliseconds = 10_000;

/** What becomes of one group. */
export type GroupVerdict =
  | { readonly type: 'keep' }
  | { readonly type: 'advance'; readonly advance: GroupAdvance }
  | { readonly type: 'remove'; readonly removal: GroupRemoval };

/**
 * What is known of a member. `lost`: it is not in the group any more. `silent`: it does not answer, so the group is better closed, but may serve.
 * `unheard`: nothing is known, so nothing is done.
 */
type MemberStanding = 'present' | 'lost' | 'leaving' | 'silent' | 'unheard';

const keep: GroupVerdict = { type: 'keep' };

export function reviewGroup(view: GroupView, input: PlannerInput): GroupVerdict {
  const { group } = view;
  const standings = group.members.map((member) => judgeMember(member, group, input));
  switch (group.phase) {
    case 'joining':
      return reviewJoining(view, standings, input);
    case 'opening':
      return reviewOpening(group, standings, input);
    case 'open':
      return reviewOpen(group, standings, input);
    case 'draining':
      return reviewDraining(view, standings, input);
    case 'closing':
      return reviewClosing(view, input);
  }
}

/**
 * The membership that an engine reports in this very group.
 * Undefined when it reports another one, none, or nothing that is recent.
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

function judgeMember(
  member: EngineMember,
  group: EngineGroup,
  input: PlannerInput,
): MemberStanding {
  const view = input.engines.get(member.host);
  const standing = judgeEngine(view);
  switch (standing.type) {
    case 'unknown':
      return 'unheard';
    case 'silent':
      return 'silent';
    case 'ended':
      return 'lost';
    case 'answering':
      if (
        !isSameInstance(standing.reading.instance, member.instance) ||
        hasForgotten(group, view)
      ) {
        return 'lost';
      }
      return input.leaving.has(member.instance) ? 'leaving' : 'present';
  }
}

/**
 * Whether a member that was ready in the group is not in it any more.
 * An engine that started again, or that carried out a late order, makes no more tokens for the group; the head says nothing of that for
 * seconds, in which all its streams stand still.
 */
function hasForgotten(group: EngineGroup, view: EngineView | undefined): boolean {
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

/** It was never ordered to open, so it can be dissolved at any moment. */
function reviewJoining(
  { group, phaseAge }: GroupView,
  standings: readonly MemberStanding[],
  input: PlannerInput,
): GroupVerdict {
  if (standings.includes('lost')) {
    return remove(group, 'a member was lost before it opened');
  }
  if (standings.includes('leaving')) {
    return remove(group, 'a member leaves before it opened');
  }
  if (standings.includes('silent')) {
    return remove(group, 'a member does not answer before it opened');
  }
  if (standings.includes('unheard')) {
    const isGivenUp = phaseAge > longestJoinWithoutWord;
    return isGivenUp ? remove(group, 'a member is not heard of') : keep;
  }
  const isReady = group.members.every((member) => {
    return findMembership(group, input.engines.get(member.host))?.state === 'ready';
  });
  return isReady ? advance(group, 'opening', 'all members are ready') : keep;
}

function reviewOpening(
  group: EngineGroup,
  standings: readonly MemberStanding[],
  input: PlannerInput,
): GroupVerdict {
  const loss = findLoss(standings);
  if (loss !== undefined) {
    return advance(group, 'closing', loss);
  }
  const state = findMembership(group, findHead(group, input))?.state;
  return state === 'open' ? advance(group, 'open', 'the head is open') : keep;
}

function reviewOpen(
  group: EngineGroup,
  standings: readonly MemberStanding[],
  input: PlannerInput,
): GroupVerdict {
  if (standings.includes('lost')) {
    return advance(group, 'closing', 'a member was lost');
  }
  if (standings.includes('silent')) {
    return advance(group, 'closing', 'a member does not answer');
  }
  if (standings.includes('leaving')) {
    return advance(group, 'draining', 'a member leaves');
  }
  const head = findHead(group, input);
  if (judgeEngine(head).type !== 'answering') {
    return keep;
  }
  switch (findMembership(group, head)?.state) {
    case 'open':
    case 'closing':
    case 'joining':
      return keep;
    case 'ready':
      return advance(group, 'opening', 'the head was closed by a late order');
    case 'broken':
      return advance(group, 'closing', 'the head is broken');
    case undefined:
      return advance(group, 'closing', 'the head is in another group');
  }
}

function reviewDraining(
  { group, phaseAge }: GroupView,
  standings: readonly MemberStanding[],
  input: PlannerInput,
): GroupVerdict {
  if (standings.includes('lost')) {
    return advance(group, 'closing', 'a member was lost');
  }
  if (standings.includes('silent')) {
    return advance(group, 'closing', 'a member does not answer');
  }
  const isIdle = isIdleSince(findHead(group, input), phaseAge);
  if (isIdle || phaseAge > longestDrain) {
    return advance(group, 'closing', isIdle ? 'drained' : 'the drain took too long');
  }
  return keep;
}

/**
 * Frees the members once the head can be open no more.
 * An engine that joins another group while the head of its own is open, or stands still, would split a replica that still takes
 * requests: answers would come from a part of the model. Only the head's own word, or its end, shows that it is not; that nothing is
 * known of it, or that it does not answer, does not.
 */
function reviewClosing({ group, phaseAge }: GroupView, input: PlannerInput): GroupVerdict {
  const [head] = group.members;
  const view = findHead(group, input);
  const standing = judgeEngine(view);
  switch (standing.type) {
    case 'unknown':
    case 'silent':
      return keep;
    case 'ended': {
      const mayStillWork = head !== undefined && input.leaving.has(head.instance);
      return mayStillWork && phaseAge <= longestLastWork
        ? keep
        : remove(group, 'the head has ended');
    }
    case 'answering':
      if (head === undefined || !isSameInstance(standing.reading.instance, head.instance)) {
        return remove(group, 'the head is another instance now');
      }
      return reviewClosingHead(group, findMembership(group, view)?.state);
  }
}

function reviewClosingHead(
  group: EngineGroup,
  state: EngineMembership['state'] | undefined,
): GroupVerdict {
  switch (state) {
    case undefined:
      return remove(group, 'the head left');
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
 * Whether the head said that it is idle after gateways had heard of the drain. What it said before may be old by a second: closed on that,
 * the group would break off what it was sent since.
 */
function isIdleSince(head: EngineView | undefined, phaseAge: Milliseconds): boolean {
  if (head === undefined || head.silence + announcementTime > phaseAge) {
    return false;
  }
  const { reading } = head.facts;
  return reading !== undefined && reading.running + reading.waiting === 0;
}

function findHead(group: EngineGroup, input: PlannerInput): EngineView | undefined {
  return input.engines.get(group.members[0]?.host ?? '');
}

function findLoss(standings: readonly MemberStanding[]): string | undefined {
  if (standings.includes('lost')) {
    return 'a member was lost while it opened';
  }
  if (standings.includes('silent')) {
    return 'a member does not answer while it opens';
  }
  return standings.includes('leaving') ? 'a member leaves while it opened' : undefined;
}

function advance(group: EngineGroup, phase: GroupAdvance['phase'], reason: string): GroupVerdict {
  return { type: 'advance', advance: { name: group.name, phase, reason } };
}

function remove({ name }: EngineGroup, reason: string): GroupVerdict {
  return { type: 'remove', removal: { name, reason } };
}
