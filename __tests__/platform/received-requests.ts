import type { ReceivedRequest, TestEngine } from './test-engine.js';

/** What must hold for the requests that one start of an engine received from one gateway, in order of arrival. */

/** Time after a rejection from which a pause must be kept, in milliseconds. */
const reactionTime = 500;
/** Most requests from one gateway in the rest of a pause. */
export const maximumInPause = 2;
/** Time after the first response that says that the engine is leaving for which requests may still arrive, in milliseconds. */
export const drainTime = 2000;

/** A pause that the engine asked for. */
export interface RequestedPause {
  readonly id: string;
  readonly from: number;
  readonly until: number;
  /** Number of requests that arrived in the part of the pause that must be kept. */
  readonly count: number;
}

export function listPauses(requests: readonly ReceivedRequest[]): readonly RequestedPause[] {
  return requests.flatMap(({ id, at, pause }) => {
    if (pause === undefined) {
      return [];
    }
    const until = at + pause;
    const kept = requests.filter((each) => each.at > at + reactionTime && each.at < until);
    return [{ id, from: at, until, count: kept.length }];
  });
}

/** A request that arrived too late after the engine had said that it is leaving. */
export interface LateRequest {
  readonly request: ReceivedRequest;
  readonly toldAt: number;
}

export function listLate(requests: readonly ReceivedRequest[]): readonly LateRequest[] {
  const told = requests.find(({ isLeaving }) => isLeaving);
  return told === undefined
    ? []
    : requests
        .filter(({ at }) => at > told.at + drainTime)
        .map((request) => ({ request, toldAt: told.at }));
}

/** Arrival times of the requests that crashed engines, in order. */
export function listCrashTimes(engines: readonly TestEngine[]): readonly number[] {
  return listCauses(engines)
    .map(({ at }) => at)
    .sort((one, other) => one - other);
}

/** Ids of the starts of engines that ended because of a request. */
export function listCrashedStarts(engines: readonly TestEngine[]): ReadonlySet<string> {
  return new Set(listCauses(engines).map(({ engine }) => engine));
}

/** The requests that crashed engines. */
function listCauses(engines: readonly TestEngine[]): readonly ReceivedRequest[] {
  return engines.flatMap(({ crashes, received }) => {
    return received.filter(({ id }) => crashes.includes(id));
  });
}
