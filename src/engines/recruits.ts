import type { Milliseconds } from '../common/index.js';
import type { EngineModel, EngineProfile } from '../routing/index.js';
import type { FreeEngine, GroupView } from './types.js';

/** Tells which engines can be members of a new group, and when. */

/** Time to join when the engine's last group had the same model, as measured at engines. */
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
export interface Recruit {
  readonly engine: FreeEngine;
  /** Time until it is in no group any more; 0 for a free one. */
  readonly freeIn: Milliseconds;
  /** The open group that would have to be drained for it; undefined for none. */
  readonly donor: GroupView | undefined;
}

/** Engines that are free, those that come free by themselves, and those of open groups. */
export function listRecruits(
  engines: readonly FreeEngine[],
  groups: readonly GroupView[],
): readonly Recruit[] {
  const groupOf = new Map(
    groups.flatMap((view) => view.group.members.map(({ host }) => [host, view] as const)),
  );
  return engines
    .filter((engine) => !isSlow(engine))
    .flatMap((engine) => describeRecruit(engine, groupOf.get(engine.member.host)) ?? []);
}

/** Whether the engine is so slow that a group is better off without it. */
export function isSlow({ reading }: FreeEngine): boolean {
  return reading.slowdown >= slowFrom;
}

/** Whether the engine can join a group of the model within a second or two. */
export function isWarm({ lastModel, reading }: FreeEngine, model: EngineModel): boolean {
  return lastModel === model.name || reading.staged.includes(model.name);
}

/** Time until a recruit is ready in a group of the model; loads as before the first request. */
export function estimateReady({ engine, freeIn }: Recruit, model: EngineModel): Milliseconds {
  if (engine.lastModel === model.name) {
    return freeIn + rejoinDuration;
  }
  const load = engine.reading.staged.includes(model.name) ? 0 : model.loadDuration;
  return freeIn + model.stagedJoinDuration + load * earlyLoadShare;
}

/** Open groups that work at full pace: the others answer too late to be counted on. */
export function listSlowGroups(
  engines: readonly FreeEngine[],
  groups: readonly GroupView[],
): ReadonlySet<string> {
  const slow = new Set(engines.filter(isSlow).map(({ member }) => member.instance));
  const found = groups.filter(({ group }) =>
    group.members.some(({ instance }) => slow.has(instance)),
  );
  return new Set(found.map(({ group }) => group.name));
}

/** Undefined for an engine of a group that is on its way. */
function describeRecruit(engine: FreeEngine, view: GroupView | undefined): Recruit | undefined {
  switch (view?.group.phase) {
    case undefined:
      return { engine, freeIn: 0, donor: undefined };
    case 'open':
      return { engine, freeIn: drainDuration + closingDuration, donor: view };
    case 'draining': {
      const freeIn = Math.max(0, drainDuration - view.phaseAge) + closingDuration;
      return { engine, freeIn, donor: undefined };
    }
    case 'closing':
      return view.phaseAge > longestClosing
        ? undefined
        : { engine, freeIn: closingDuration, donor: undefined };
    case 'joining':
    case 'opening':
      return undefined;
  }
}

/** Fabric domains of recruits. */
export function listDomains(recruits: readonly Recruit[]): readonly string[] {
  return [...new Set(recruits.map(({ engine }) => engine.reading.fabricDomain))];
}

/** How fast a group of these recruits would serve; before the first request no weights have to be at hand. */
export function estimateServing(
  recruits: readonly Recruit[],
  model: EngineModel,
  { openDuration }: EngineProfile,
): Milliseconds {
  return Math.max(...recruits.map((recruit) => estimateReady(recruit, model))) + openDuration;
}
