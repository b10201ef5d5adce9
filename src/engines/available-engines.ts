import type { Milliseconds } from '../common/index.js';
import { InstanceSet, type EngineModel, type EngineProfile } from '../routing/index.js';
import type { AnsweringEngine, GroupView } from './types.js';

/** Tells which engines can be members of a new group, and when. */

/** Time to join when the engine's last group had the same model. */
const rejoinDuration: Milliseconds = 220;
/** Loads take this part of their time before the first request. */
const earlyLoadShare = 0.1;
/** A group that drains is empty after about this time: most answers are done by then. */
const drainDuration: Milliseconds = 1000;
/** A head takes some ten milliseconds to close and leave. */
const closingDuration: Milliseconds = 100;
/** A group that closes for longer than this has a head that is not heard of; nobody waits for its engines. */
const longestClosing: Milliseconds = 1500;
/** A group works at the pace of its slowest member; from this factor on it is better off without that one. */
const slowFrom = 2;

/** An engine that could be a member of a new group. */
export interface AvailableEngine {
  readonly engine: AnsweringEngine;
  /** Time until it is in no group any more; 0 for a free one. */
  readonly freeIn: Milliseconds;
  /** The open group that would have to be drained for it; undefined for none. */
  readonly heldBy: GroupView | undefined;
}

/** Engines that are free, those that come free by themselves, and those of open groups. */
export function listAvailableEngines(
  engines: readonly AnsweringEngine[],
  groups: readonly GroupView[],
): readonly AvailableEngine[] {
  const groupOf = new Map(
    groups.flatMap((view) => view.group.members.map(({ host }) => [host, view] as const)),
  );
  return engines
    .filter((engine) => !isSlow(engine))
    .flatMap((engine) => describeAvailable(engine, groupOf.get(engine.member.host)) ?? []);
}

/** Whether the engine is so slow that a group is better off without it. */
export function isSlow({ reading }: AnsweringEngine): boolean {
  return reading.slowdown >= slowFrom;
}

/** Whether the engine can join a group of the model within a second or two. */
export function isWarm({ lastModel, reading }: AnsweringEngine, model: EngineModel): boolean {
  return lastModel === model.name || reading.staged.includes(model.name);
}

/** Time until an engine is ready in a group of the model; loads as before the first request. */
export function estimateReady(
  { engine, freeIn }: AvailableEngine,
  model: EngineModel,
): Milliseconds {
  if (engine.lastModel === model.name) {
    return freeIn + rejoinDuration;
  }
  const load = engine.reading.staged.includes(model.name) ? 0 : model.loadDuration;
  return freeIn + model.stagedJoinDuration + load * earlyLoadShare;
}

/** Open groups that work at full pace: the others answer too late to be counted on. */
export function listSlowGroups(
  engines: readonly AnsweringEngine[],
  groups: readonly GroupView[],
): ReadonlySet<string> {
  const slow = new InstanceSet(engines.filter(isSlow).map(({ member }) => member.instance));
  const found = groups.filter(({ group }) =>
    group.members.some(({ instance }) => slow.has(instance)),
  );
  return new Set(found.map(({ group }) => group.name));
}

/** Undefined for an engine of a group that is on its way. */
function describeAvailable(
  engine: AnsweringEngine,
  view: GroupView | undefined,
): AvailableEngine | undefined {
  switch (view?.group.phase) {
    case undefined:
      return { engine, freeIn: 0, heldBy: undefined };
    case 'open':
      return { engine, freeIn: drainDuration + closingDuration, heldBy: view };
    case 'draining': {
      const freeIn = Math.max(0, drainDuration - view.phaseAge) + closingDuration;
      return { engine, freeIn, heldBy: undefined };
    }
    case 'closing':
      return view.phaseAge > longestClosing
        ? undefined
        : { engine, freeIn: closingDuration, heldBy: undefined };
    case 'joining':
    case 'opening':
      return undefined;
  }
}

/** Fabric domains of the engines. */
export function listDomains(available: readonly AvailableEngine[]): readonly string[] {
  return [...new Set(available.map(({ engine }) => engine.reading.fabricDomain))];
}

/** Time until a group of these engines would serve. */
export function estimateServing(
  members: readonly AvailableEngine[],
  model: EngineModel,
  { openDuration }: EngineProfile,
): Milliseconds {
  return Math.max(...members.map((member) => estimateReady(member, model))) + openDuration;
}
