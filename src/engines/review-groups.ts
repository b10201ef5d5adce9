import type { Milliseconds } from '../common/index.js';
import {
  isSameInstance,
  type EngineGroup,
  type EngineMember,
  type EngineMembership,
} from '../routing/index.js';
import type { EngineView, GroupAdvance, GroupRemoval, GroupView, PlannerInput } from './types.js';

/** Decides what becomes of the groups that are placed. */

/**
 * A report older than this proves nothing about an engine. Sidecars report at least once a second; three of those may be
 * late before what they said is doubted.
 */
export const longestSilence: Milliseconds = 3000;
/** A draining group is closed after this time, whether or not it is idle: a leaving engine serves about 2 s more. */
const longestDrain: Milliseconds = 1800;
/** Gateways hear of a drain, and what they sent before arrives, within this time. */
const announcementTime: Milliseconds = 100;
/** A group that was never ordered to open and has a member that nobody hears of is given up after this time. */
const longestJoinWithoutWord: Milliseconds = 5000;

/** What becomes of one group. */
export type GroupVerdict =
  | { readonly type: 'keep' }
  | { readonly type: 'advance'; readonly advance: GroupAdvance }
  | { readonly type: 'remove'; readonly removal: GroupRemoval };

/** What is known of a member. `unheard`: its sidecar is silent, so the engine may be well or gone. */
type MemberStanding = 'present' | 'lost' | 'leaving' | 'unheard';

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
      return reviewClosing(group, input);
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
  if (view === undefined || view.silence > longestSilence) {
    return 'unheard';
  }
  if (!isStillThere(member, view) || hasForgotten(group, view)) {
    return 'lost';
  }
  return input.leaving.has(member.instance) ? 'leaving' : 'present';
}

function isStillThere({ instance }: EngineMember, { facts }: EngineView): boolean {
  return facts.reading !== undefined && isSameInstance(facts.reading.instance, instance);
}

/**
 * Whether a member that was ready in the group is not in it any more.
 * An engine that started again, or that carried out a late order, makes no more tokens for the group; the head says nothing of that for
 * seconds, in which all its streams stand still.
 */
function hasForgotten(group: EngineGroup, view: EngineView): boolean {
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
  if (standings.includes('leaving')) {
    return advance(group, 'draining', 'a member leaves');
  }
  const head = findHead(group, input);
  if (head === undefined || head.silence > longestSilence) {
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
  const isIdle = isIdleSince(findHead(group, input), phaseAge);
  if (isIdle || phaseAge > longestDrain) {
    return advance(group, 'closing', isIdle ? 'drained' : 'the drain took too long');
  }
  return keep;
}

/**
 * Frees the members once the head can be open no more.
 * An engine that joins another group while the head of its own is open, or stands still, would split a replica that still takes
 * requests: answers would come from a part of the model. Only the head's own word, or its end, shows that it is not.
 */
function reviewClosing(group: EngineGroup, input: PlannerInput): GroupVerdict {
  const view = findHead(group, input);
  if (view === undefined || view.silence > longestSilence) {
    return keep;
  }
  const head = group.members[0];
  if (head === undefined || !isStillThere(head, view)) {
    return remove(group, 'the head is gone');
  }
  const state = findMembership(group, view)?.state;
  if (state === undefined) {
    return remove(group, 'the head left');
  }
  return state === 'broken' ? remove(group, 'the head is broken') : keep;
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
  return standings.includes('leaving') ? 'a member leaves while it opened' : undefined;
}

function advance(group: EngineGroup, phase: GroupAdvance['phase'], reason: string): GroupVerdict {
  return { type: 'advance', advance: { name: group.name, phase, reason } };
}

function remove({ name }: EngineGroup, reason: string): GroupVerdict {
  return { type: 'remove', removal: { name, reason } };
}
