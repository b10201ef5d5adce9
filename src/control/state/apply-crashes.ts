import type { WallTime } from '../../common/index.js';
import {
  isTrialDue,
  listQuarantined,
  type CrashSubjectKey,
  type CrashSuspect,
} from '../../routing/index.js';
import type { Command } from './commands.js';
import type { ApplyResult, ControlState } from './state.js';

/** Applies crash reports to the replicated state. */

type NoteCrashes = Extract<Command, { readonly type: 'noteCrashes' }>;
type ReleaseSubject = Extract<Command, { readonly type: 'releaseSubject' }>;
type Suspects = ReadonlyMap<CrashSubjectKey, CrashSuspect>;

/**
 * A suspect that is not quarantined loses its oldest crash if no further one is reported within this time. Quarantined subjects do not
 * expire: one that crashes upstreams would crash a few more each time.
 */
export const crashLifetimeMilliseconds = 10 * 60 * 1000;

/** Limits the size of the state when upstreams crash with many distinct subjects in flight. */
const maximumSuspects = 10_000;
/** Crashes kept of one suspect: those by which a weaker suspect is cleared. */
const maximumCrashesPerSuspect = 16;

/**
 * Counts each crash against the subjects that were in flight, grants trials, then removes the suspects that were answered completely.
 */
export function applyNoteCrashes(state: ControlState, command: NoteCrashes): ApplyResult {
  const { at, crashes, answered, trials = [] } = command;
  const suspects = new Map(expireSuspects(state.routing.suspects, at));
  for (const { upstream, requests } of crashes) {
    for (const request of requests) {
      suspects.set(request, addCrash(suspects.get(request), request, upstream, at));
    }
  }
  const quarantined = trials.length === 0 ? new Set() : listQuarantined(suspects);
  for (const { request, token } of trials) {
    const suspect = suspects.get(request);
    if (suspect !== undefined && quarantined.has(request)) {
      suspects.set(request, grantTrial(suspect, token, at));
    }
  }
  for (const request of answered) {
    suspects.delete(request);
  }
  return { state: replaceSuspects(state, limitSuspects(suspects)), answer: { type: 'recorded' } };
}

/** Ends the quarantine of a subject by order of an operator. Its crashes are forgotten, so it takes as many to quarantine it again. */
export function applyReleaseSubject(state: ControlState, { subject }: ReleaseSubject): ApplyResult {
  const suspects = new Map(state.routing.suspects);
  const isChanged = suspects.delete(subject);
  return {
    state: isChanged ? replaceSuspects(state, suspects) : state,
    answer: { type: 'subjectReleased', isChanged },
  };
}

/** Whether a command applied at `at` would remove an expired crash. */
export function hasExpiredCrash(suspects: Suspects, at: WallTime): boolean {
  return expireSuspects(suspects, at) !== suspects;
}

function replaceSuspects(state: ControlState, suspects: Suspects): ControlState {
  return { ...state, routing: { ...state.routing, suspects } };
}

/** Returns the same map if nothing has expired. */
function expireSuspects(suspects: Suspects, at: WallTime): Suspects {
  const old = [...suspects.values()].filter(({ changedAt }) => {
    return at - changedAt >= crashLifetimeMilliseconds;
  });
  if (old.length === 0) {
    return suspects;
  }
  const quarantined = listQuarantined(suspects);
  const expired = old.filter(({ request }) => !quarantined.has(request));
  if (expired.length === 0) {
    return suspects;
  }
  const kept = new Map(suspects);
  for (const suspect of expired) {
    const { request, upstreams } = suspect;
    if (upstreams.length > 1) {
      kept.set(request, { ...suspect, upstreams: upstreams.slice(1), changedAt: at });
    } else {
      kept.delete(request);
    }
  }
  return kept;
}

/** Counts a crash once, even if several gateways report it. */
function addCrash(
  known: CrashSuspect | undefined,
  request: CrashSubjectKey,
  upstream: string,
  at: WallTime,
): CrashSuspect {
  if (known === undefined) {
    return { request, upstreams: [upstream], changedAt: at, since: at };
  }
  const { upstreams } = known;
  return upstreams.includes(upstream)
    ? known
    : {
        ...known,
        upstreams: [...upstreams, upstream].slice(-maximumCrashesPerSuspect),
        changedAt: at,
      };
}

/** A repeated request for the same trial is granted once. */
function grantTrial(suspect: CrashSuspect, token: string, at: WallTime): CrashSuspect {
  const trials = suspect.trials ?? [];
  const isKnown = trials.some((trial) => trial.token === token);
  return isKnown || !isTrialDue(suspect, at)
    ? suspect
    : { ...suspect, trials: [...trials, { token, grantedAt: at }] };
}

/** Drops the suspects with the fewest crashes first, so that many new suspects cannot release a quarantined subject. */
function limitSuspects(suspects: Suspects): Suspects {
  if (suspects.size <= maximumSuspects) {
    return suspects;
  }
  const ranked = [...suspects].sort(
    ([, one], [, other]) =>
      other.upstreams.length - one.upstreams.length || other.changedAt - one.changedAt,
  );
  return new Map(ranked.slice(0, maximumSuspects));
}
