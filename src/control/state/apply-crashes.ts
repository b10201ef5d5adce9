import type { WallTime } from '../../common/index.js';
import { quarantineThreshold, type CrashSuspect } from '../../routing/index.js';
import type { Command } from './commands.js';
import type { ApplyResult, ControlState } from './state.js';

/** Applies crash reports to the replicated state. */

type NoteCrashes = Extract<Command, { readonly type: 'noteCrashes' }>;

/** A suspect loses its oldest crash if no further crash is reported within this time, so that a quarantined request is retried. */
export const crashLifetimeMilliseconds = 10 * 60 * 1000;

/** Limits the size of the state when upstreams crash with many distinct requests in flight. */
const maximumSuspects = 1000;

/** Counts each crash against the requests that were in flight, then removes the suspects that were answered completely. */
export function applyNoteCrashes(state: ControlState, command: NoteCrashes): ApplyResult {
  const { at, crashes, answered } = command;
  const suspects = new Map<string, CrashSuspect>();
  for (const suspect of state.routing.suspects.values()) {
    const kept = expireCrash(suspect, at);
    if (kept !== undefined) {
      suspects.set(kept.request, kept);
    }
  }
  for (const { upstream, requests } of crashes) {
    for (const request of requests) {
      suspects.set(request, addCrash(suspects.get(request), request, upstream, at));
    }
  }
  for (const request of answered) {
    suspects.delete(request);
  }
  const routing = { ...state.routing, suspects: limitSuspects(suspects) };
  return { state: { ...state, routing }, answer: { type: 'recorded' } };
}

/** Whether a command applied at `at` would remove an expired crash. */
export function hasExpiredCrash(
  suspects: ReadonlyMap<string, CrashSuspect>,
  at: WallTime,
): boolean {
  return [...suspects.values()].some((suspect) => expireCrash(suspect, at) !== suspect);
}

function expireCrash(suspect: CrashSuspect, at: WallTime): CrashSuspect | undefined {
  const { request, upstreams, changedAt } = suspect;
  if (at - changedAt < crashLifetimeMilliseconds) {
    return suspect;
  }
  return upstreams.length > 1
    ? { request, upstreams: upstreams.slice(1), changedAt: at }
    : undefined;
}

/** Counts a crash once, even if several gateways report it. */
function addCrash(
  known: CrashSuspect | undefined,
  request: string,
  upstream: string,
  at: WallTime,
): CrashSuspect {
  const upstreams = known?.upstreams ?? [];
  if (known !== undefined && upstreams.includes(upstream)) {
    return known;
  }
  return {
    request,
    upstreams: [...upstreams, upstream].slice(-quarantineThreshold),
    changedAt: at,
  };
}

/** Drops the suspects with the fewest crashes first, so that many new suspects cannot release a quarantined request. */
function limitSuspects(
  suspects: ReadonlyMap<string, CrashSuspect>,
): ReadonlyMap<string, CrashSuspect> {
  if (suspects.size <= maximumSuspects) {
    return suspects;
  }
  const ranked = [...suspects].sort(
    ([, one], [, other]) =>
      other.upstreams.length - one.upstreams.length || other.changedAt - one.changedAt,
  );
  return new Map(ranked.slice(0, maximumSuspects));
}
