import { z } from 'zod';

/** Subjects that were in flight when upstreams crashed. */

/** Number of distinct instances that must crash with a subject in flight before it is quarantined. */
export const quarantineThreshold = 3;

const trialSchema = z
  .strictObject({
    /** Chosen by the gateway that may send the subject once. */
    token: z.string().min(1),
    grantedAt: z.number(),
    /** Whether other subjects of the request on trial may be to blame for a crash of its upstream; absent if not. */
    isAmbiguous: z.literal(true).exactOptional(),
    /** Whether no request has used the grant; absent if one has, or may yet. */
    isUnused: z.literal(true).exactOptional(),
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
    /** Wall time since when gateways must not send the subject; absent if they may. */
    quarantinedAt: z.number().exactOptional(),
    /** Absent before the first trial. */
    trials: z.array(trialSchema).min(1).readonly().exactOptional(),
  })
  .readonly();

export type Trial = z.infer<typeof trialSchema>;
export type CrashSuspect = z.infer<typeof crashSuspectSchema>;
