import type { Milliseconds } from '../common/index.js';
import { InstanceSet, type EngineModel, type EngineProfile } from '../routing/index.js';
import type { AnsweringEngine, GroupView } from './types.js';

/** Determines which engines can become members of a new group, and when. */

/** Time to join a group if the engine's previous group had the same model. */
const rejoinDuration: Milliseconds = 220;
/** Before the first request, a load takes this fraction of its usual time. */
const earlyLoadFactor = 0.1;
/** Approximate time for a draining group to become empty: most requests have finished by then. */
const drainDuration: Milliseconds = 1000;
/** Time allowed for a head to close and leave its group, which takes some tens of milliseconds. */
const closingDuration: Milliseconds = 100;
/** If a group is closing for longer than this, nothing is known about its head; planning no longer counts on its engines. */
const closingTimeout: Milliseconds = 1500;
/** A group runs at the speed of its slowest member. From this slowdown on, the group is better off without that member. */
const slowdownThreshold = 2;

/** An engine that could be a member of a new group. */
export interface AvailableEngine {
  readonly engine: AnsweringEngine;
  /** Time until the engine has left its group; 0 if it is in none. */
  readonly timeUntilFree: Milliseconds;
  /** The open group that has to be drained to free the engine; undefined if there is none. */
  readonly openGroup: GroupView | undefined;
}

/** Engines that are in no group, engines of groups that are draining or closing, and engines of open groups. */
export function findAvailableEngines(
  engines: readonly AnsweringEngine[],
  groups: readonly GroupView[],
): readonly AvailableEngine[] {
  const groupOf = new Map(
    groups.flatMap((view) => view.group.members.map(({ host }) => [host, view] as const)),
  );
  return engines
    .filter((engine) => !isSlow(engine))
    .flatMap((engine) => toAvailableEngine(engine, groupOf.get(engine.member.host)) ?? []);
}

/** Whether the engine is so slow that a group is better off without it. */
export function isSlow({ reading }: AnsweringEngine): boolean {
  return reading.slowdown >= slowdownThreshold;
}

/** Whether the engine can join a group of the model within a second or two, because its host has the weights. */
export function isWarm({ lastModel, reading }: AnsweringEngine, model: EngineModel): boolean {
  return lastModel === model.name || reading.staged.includes(model.name);
}

/** Time until an engine is ready in a group of the model. Loads are estimated at their speed before the first request. */
export function estimateReadyTime(
  { engine, timeUntilFree }: AvailableEngine,
  model: EngineModel,
): Milliseconds {
  if (engine.lastModel === model.name) {
    return timeUntilFree + rejoinDuration;
  }
  const load = engine.reading.staged.includes(model.name) ? 0 : model.loadDuration;
  return timeUntilFree + model.stagedJoinDuration + load * earlyLoadFactor;
}

/** Names of the groups with a slow member. Their answers come too late for them to count as capacity. */
export function findSlowGroups(
  engines: readonly AnsweringEngine[],
  groups: readonly GroupView[],
): ReadonlySet<string> {
  const slow = new InstanceSet(engines.filter(isSlow).map(({ member }) => member.instance));
  const found = groups.filter(({ group }) =>
    group.members.some(({ instance }) => slow.has(instance)),
  );
  return new Set(found.map(({ group }) => group.name));
}

/** Undefined if the group of the engine is being formed, or if nothing is known about the head of a closing group. */
function toAvailableEngine(
  engine: AnsweringEngine,
  view: GroupView | undefined,
): AvailableEngine | undefined {
  switch (view?.group.phase) {
    case undefined:
      return { engine, timeUntilFree: 0, openGroup: undefined };
    case 'open':
      return { engine, timeUntilFree: drainDuration + closingDuration, openGroup: view };
    case 'draining': {
      const timeUntilFree = Math.max(0, drainDuration - view.phaseAge) + closingDuration;
      return { engine, timeUntilFree, openGroup: undefined };
    }
    case 'closing':
      return view.phaseAge > closingTimeout
        ? undefined
        : { engine, timeUntilFree: closingDuration, openGroup: undefined };
    case 'joining':
    case 'opening':
      return undefined;
  }
}

/** Fabric domain of a group, by the fabric domains of hosts; undefined if its head does not answer. */
export function findDomainOfGroup(
  { group }: GroupView,
  domains: ReadonlyMap<string, string>,
): string | undefined {
  return domains.get(group.members[0]?.host ?? '');
}

/** Fabric domains of the engines. */
export function listDomains(available: readonly AvailableEngine[]): readonly string[] {
  return [...new Set(available.map(({ engine }) => engine.reading.fabricDomain))];
}

/** Time until a group of these engines could serve requests. */
export function estimateServingTime(
  members: readonly AvailableEngine[],
  model: EngineModel,
  { openDuration }: EngineProfile,
): Milliseconds {
  return Math.max(...members.map((member) => estimateReadyTime(member, model))) + openDuration;
}
