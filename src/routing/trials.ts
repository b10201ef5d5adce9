import type { Milliseconds, WallTime } from '../common/index.js';
import { parseSubject, type CrashSubject, type CrashSubjectKey } from './crash-subjects.js';
import { isQuarantined } from './quarantine.js';
import type { CrashSuspect, Trial } from './suspects.js';

/** Decides which request with quarantined subjects may be sent once, and when; its answer clears them. */

const firstSegmentTrialDelay: Milliseconds = 500;
const secondSegmentTrialDelay: Milliseconds = 15 * 1000;
const lateTrialDelay: Milliseconds = 5 * 60 * 1000;

/**
 * A quarantined subject may be sent once more this long after its last crash or trial, and no more often than there are entries; otherwise
 * one that was in flight by coincidence could only be released by an operator. Each trial of a guilty subject crashes an upstream. The early
 * trials are therefore only for segments, which many callers may share; a request is rejected for one caller, who repeats it.
 */
export const trialDelays: Readonly<Record<CrashSubject['type'], readonly Milliseconds[]>> = {
  request: [lateTrialDelay],
  segment: [firstSegmentTrialDelay, secondSegmentTrialDelay, lateTrialDelay],
};

/** Shorter delays after ambiguous trials, whose crash leaves open which subject is guilty. */
const repeatDelays: readonly Milliseconds[] = [firstSegmentTrialDelay, 3000];

/**
 * Time after the start of a quarantine in which ambiguous trials do not use up entries of `trialDelays`: until all gateways enforce it, a
 * guilty subject crashes upstreams anyway, and an innocent one that all requests hold is worth more trials.
 */
const settlingPeriod: Milliseconds = 2000;

/** Longest time by which a request on trial is delayed for each reason that makes it the less suitable one. */
const selectionPeriod: Milliseconds = 500;

type Suspects = ReadonlyMap<CrashSubjectKey, CrashSuspect>;

/** A request that a gateway asks to send. */
export interface TrialCandidate {
  /** Its quarantined subjects, as far as the gateway knows. */
  readonly subjects: readonly CrashSubjectKey[];
  /** Its other subjects, except those that have been answered. */
  readonly others: readonly CrashSubjectKey[];
}

export function hasTrial(suspect: CrashSuspect | undefined, token: string): boolean {
  return suspect?.trials?.some((trial) => trial.token === token) === true;
}

/**
 * Time from which the next trial may be granted; undefined if there is none. `isOnly`: whether the request has no other quarantined subject.
 * Otherwise a crash says little, so the last trial is kept for minutes for a request that has none.
 */
export function findTrialTime(suspect: CrashSuspect, isOnly = true): WallTime | undefined {
  const { changedAt, trials = [] } = suspect;
  const last = trials.findLast(({ isUnused }) => isUnused !== true);
  const delay = findTrialDelay(suspect, last, isOnly);
  if (delay === undefined) {
    return undefined;
  }
  const dueAt = Math.max(changedAt, last?.grantedAt ?? changedAt) + delay;
  // After a grant that was not used, the most suitable request is chosen anew.
  return Math.max(dueAt, trials.at(-1)?.grantedAt ?? dueAt);
}

function findTrialDelay(
  suspect: CrashSuspect,
  last: Trial | undefined,
  isOnly: boolean,
): Milliseconds | undefined {
  const delays = trialDelays[parseSubject(suspect.request).type];
  const used = countUsed(suspect);
  if (used === 0 || used >= delays.length || last?.isAmbiguous !== true) {
    return delays[used];
  }
  return repeatDelays[isOnly ? used - 1 : used] ?? lateTrialDelay;
}

function countUsed({ quarantinedAt = 0, trials = [] }: CrashSuspect): number {
  const settledAt = quarantinedAt + settlingPeriod;
  return trials.filter(({ isAmbiguous, isUnused, grantedAt }) => {
    return isUnused !== true && (isAmbiguous !== true || grantedAt >= settledAt);
  }).length;
}

/**
 * The trials of the quarantined subjects of a request, by their keys; undefined if it may not be sent. The more doubtful it is, the later it is
 * allowed, so that one which is more likely to be answered comes first.
 */
export function selectTrials(
  suspects: Suspects,
  { subjects, others }: TrialCandidate,
  now: WallTime,
): ReadonlyMap<CrashSubjectKey, Omit<Trial, 'token'>> | undefined {
  const all = [...subjects, ...others];
  const quarantined = findQuarantined(suspects, all);
  if (quarantined.length === 0) {
    return undefined;
  }
  const dueTimes = quarantined.map((suspect) => {
    return findTrialTime(suspect, quarantined.length === 1) ?? Number.POSITIVE_INFINITY;
  });
  const doubt =
    quarantined.length -
    1 +
    measureSharedCrashes(suspects, quarantined, all) +
    measureUnproven(all, others);
  if (now < Math.max(...dueTimes) + doubt * selectionPeriod) {
    return undefined;
  }
  const isAmbiguous = doubt > 0;
  return new Map(
    quarantined.map((suspect) => {
      return [suspect.request, { grantedAt: now, ...(isAmbiguous && { isAmbiguous }) }];
    }),
  );
}

function findQuarantined(
  suspects: Suspects,
  subjects: readonly CrashSubjectKey[],
): readonly CrashSuspect[] {
  return subjects.flatMap((subject) => {
    const suspect = suspects.get(subject);
    return suspect !== undefined && isQuarantined(suspect) ? [suspect] : [];
  });
}

/** Share of the crashes of the suspect with the most of them at which other subjects of the request were in flight too. */
function measureSharedCrashes(
  suspects: Suspects,
  quarantined: readonly CrashSuspect[],
  all: readonly CrashSubjectKey[],
): number {
  const [main] = [...quarantined].sort((one, other) => {
    return other.upstreams.length - one.upstreams.length;
  });
  const upstreams = main?.upstreams ?? [];
  const others = all.filter((subject) => subject !== main?.request);
  const shared = new Set(others.flatMap((other) => suspects.get(other)?.upstreams ?? []));
  const sharedCount = upstreams.filter((upstream) => shared.has(upstream)).length;
  return sharedCount / Math.max(1, upstreams.length);
}

/** Share of the segments of a request that have not been answered, except quarantined ones. */
function measureUnproven(
  all: readonly CrashSubjectKey[],
  others: readonly CrashSubjectKey[],
): number {
  return others.filter(isSegment).length / Math.max(1, all.filter(isSegment).length);
}

function isSegment(subject: CrashSubjectKey): boolean {
  return parseSubject(subject).type === 'segment';
}
