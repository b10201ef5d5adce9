import { z } from 'zod';

import type { Milliseconds, WallTime } from '../common/index.js';
import { parseSubject, type CrashSubject } from './crash-subjects.js';

/** Subjects that were in flight when upstreams crashed. */

/** Number of distinct instances that must crash with a subject in flight before it is quarantined. */
export const quarantineThreshold = 3;

const firstSegmentTrialDelay: Milliseconds = 2000;
const lateTrialDelay: Milliseconds = 5 * 60 * 1000;

/**
 * A quarantined subject may be sent once more this long after its last crash or trial, and no more often than there are entries; otherwise
 * one that was in flight by coincidence could only be released by an operator. Each trial of a guilty subject crashes an upstream. The early
 * trial is therefore only for segments, which many callers may share; a request is rejected for one caller, who repeats it.
 */
export const trialDelays: Readonly<Record<CrashSubject['type'], readonly Milliseconds[]>> = {
  request: [lateTrialDelay],
  segment: [firstSegmentTrialDelay, lateTrialDelay],
};

const trialSchema = z
  .strictObject({
    /** Chosen by the gateway that may send the subject once. */
    token: z.string().min(1),
    grantedAt: z.number(),
  })
  .readonly();

export const crashSuspectSchema = z
  .strictObject({
    /** Key of the subject; see `CrashSubject`. */
    request: z.string().min(1),
    /** Identities of the instances that crashed with the subject in flight, oldest first. */
    upstreams: z.array(z.string().min(1)).min(1).readonly(),
    /** Wall time of the last change to `upstreams`. */
    changedAt: z.number(),
    /** Wall time of the first crash; absent if it was recorded by an earlier version. */
    since: z.number().exactOptional(),
    /** Absent before the first trial. */
    trials: z.array(trialSchema).min(1).readonly().exactOptional(),
  })
  .readonly();

export type CrashSuspect = z.infer<typeof crashSuspectSchema>;

/** Whether a quarantined subject may be sent once more. */
export function isTrialDue(
  { request, changedAt, trials = [] }: CrashSuspect,
  now: WallTime,
): boolean {
  const delay = trialDelays[parseSubject(request).type][trials.length];
  const lastChange = Math.max(changedAt, trials.at(-1)?.grantedAt ?? changedAt);
  return delay !== undefined && now - lastChange >= delay;
}
