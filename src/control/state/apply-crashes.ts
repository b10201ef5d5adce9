import type { WallTime } from '../../common/index.js';
import {
  findBlamed,
  hasTrial,
  isQuarantined,
  selectTrials,
  type CrashSubjectKey,
  type CrashSuspect,
  type Trial,
} from '../../routing/index.js';
import type { Command } from './commands.js';
import type { ApplyResult, ControlState } from './state.js';

/** Applies crash reports to the replicated state. */

type NoteCrashes = Extract<Command, { readonly type: 'noteCrashes' }>;
type WantedTrial = NonNullable<NoteCrashes['trials']>[number];
type ReleaseSubject = Extract<Command, { readonly type: 'releaseSubject' }>;
type Suspects = ReadonlyMap<CrashSubjectKey, CrashSuspect>;

/**
 * A suspect that is not quarantined loses its oldest crash if no further one is reported within this time. Quarantined subjects do not
 * expire: one that crashes upstreams would crash a few more each time.
 */
export const crashLifetimeMilliseconds = 10 * 60 * 1000;

/** Limits the size of the state when upstreams crash with many distinct subjects in flight. */
const maximumSuspects = 10_000;
/** Crashes kept of one suspect: those that it may account for in place of a whole request, or of another subject of a request on trial. */
const maximumCrashesPerSuspect = 16;

/**
 * Counts each crash against the subjects that were in flight, removes the suspects that were answered completely, quarantines those to blame,
 * and takes back and grants trials.
 */
export function applyNoteCrashes(state: ControlState, command: NoteCrashes): ApplyResult {
  const { at, crashes, answered, trials = [], returned = [] } = command;
  const suspects = new Map(expireSuspects(state.routing.suspects, at));
  for (const { upstream, requests } of crashes) {
    for (const request of requests) {
      suspects.set(request, addCrash(suspects.get(request), request, upstream, at));
    }
  }
  for (const request of answered) {
    suspects.delete(request);
  }
  quarantineBlamed(suspects, at);
  takeBackTrials(suspects, new Set(returned));
  for (const wanted of trials) {
    grantTrial(suspects, wanted, at);
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
  const expired = [...suspects.values()].filter((suspect) => {
    return at - suspect.changedAt >= crashLifetimeMilliseconds && !isQuarantined(suspect);
  });
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

function quarantineBlamed(suspects: Map<CrashSubjectKey, CrashSuspect>, at: WallTime): void {
  for (const key of findBlamed(suspects)) {
    const suspect = suspects.get(key);
    if (suspect !== undefined && !isQuarantined(suspect)) {
      suspects.set(key, { ...suspect, quarantinedAt: at });
    }
  }
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

/** A trial that no request has used may be granted to another one. */
function takeBackTrials(
  suspects: Map<CrashSubjectKey, CrashSuspect>,
  tokens: ReadonlySet<string>,
): void {
  if (tokens.size === 0) {
    return;
  }
  for (const [subject, suspect] of suspects) {
    const { trials = [] } = suspect;
    if (trials.some(({ token }) => tokens.has(token))) {
      const marked = trials.map((trial) => {
        return tokens.has(trial.token) ? { ...trial, isUnused: true as const } : trial;
      });
      suspects.set(subject, { ...suspect, trials: keepLastUnused(marked) });
    }
  }
}

/** An unused trial only delays the next one, so earlier ones are not needed. */
function keepLastUnused(trials: readonly Trial[]): readonly Trial[] {
  const lastUnused = trials.findLast(({ isUnused }) => isUnused === true);
  return trials.filter((trial) => trial.isUnused !== true || trial === lastUnused);
}

/** A repeated request for the same trial is granted once. */
function grantTrial(
  suspects: Map<CrashSubjectKey, CrashSuspect>,
  { token, subjects, others = [] }: WantedTrial,
  at: WallTime,
): void {
  if (subjects.some((subject) => hasTrial(suspects.get(subject), token))) {
    return;
  }
  const selected = selectTrials(suspects, { subjects, others }, at) ?? [];
  for (const [subject, trial] of selected) {
    const suspect = suspects.get(subject);
    if (suspect !== undefined) {
      const trials = [...(suspect.trials ?? []), { ...trial, token }];
      suspects.set(subject, { ...suspect, trials });
    }
  }
}

/** Drops the suspects with the fewest crashes first, and quarantined ones last, so that many new suspects cannot release one of these. */
function limitSuspects(suspects: Suspects): Suspects {
  if (suspects.size <= maximumSuspects) {
    return suspects;
  }
  const ranked = [...suspects].sort(
    ([, one], [, other]) =>
      Number(isQuarantined(other)) - Number(isQuarantined(one)) ||
      other.upstreams.length - one.upstreams.length ||
      other.changedAt - one.changedAt,
  );
  return new Map(ranked.slice(0, maximumSuspects));
}
