import { z } from 'zod';

import type { WallTime } from '../common/index.js';

/** Service-level counters as a gateway keeps them and as `GatewayService.Counters` carries them. */

/**
 * Outcome of a request for its service level.
 * Invalid requests and requests that the caller cancelled are not recorded.
 */
export type ServiceLevelOutcome = 'whole' | 'failed' | 'notRun';

const minute = 60_000;
const hour = 60 * minute;

/** Length and number of the buckets in which counters are kept. Times are in milliseconds. */
export interface Resolution {
  readonly bucketLength: number;
  /** Buckets kept, including the current one. */
  readonly bucketCount: number;
}

/** One-minute buckets for 6 hours. */
export const minuteResolution: Resolution = { bucketLength: minute, bucketCount: 360 };

/** One-hour buckets for 3 days. */
export const hourResolution: Resolution = { bucketLength: hour, bucketCount: 72 };

/** Maximum targets counted by one gateway. Requests of further targets are counted as unrecorded. */
export const maximumTargets = 64;

const bucketSchema = z
  .strictObject({
    /** Wall time at which the bucket starts; a multiple of its length. */
    start: z.int(),
    whole: z.int().min(0),
    failed: z.int().min(0),
    notRun: z.int().min(0),
    /** Times to the first token in milliseconds: an HDR histogram in its compressed encoding, or null for none. */
    firstTokens: z.string().nullable(),
  })
  .readonly();

const targetSchema = z
  .strictObject({
    target: z.string(),
    minutes: z.array(bucketSchema).max(minuteResolution.bucketCount).readonly(),
    hours: z.array(bucketSchema).max(hourResolution.bucketCount).readonly(),
  })
  .readonly();

/** All service-level counters of one gateway. */
export const serviceLevelCountersSchema = z
  .strictObject({
    /** Wall time since which the gateway counts, that is, its last start. */
    since: z.number(),
    /** Requests of targets beyond the maximum, which are in no bucket. */
    unrecorded: z.int().min(0),
    targets: z.array(targetSchema).max(maximumTargets).readonly(),
  })
  .readonly();

export type ServiceLevelBucket = z.infer<typeof bucketSchema>;
export type TargetCounters = z.infer<typeof targetSchema>;
export type ServiceLevelCounters = z.infer<typeof serviceLevelCountersSchema>;

/** Outcome of requesting the counters of one gateway. */
export type GatewayAnswer =
  | {
      readonly type: 'counters';
      readonly gateway: string;
      readonly counters: ServiceLevelCounters;
    }
  | { readonly type: 'noAnswer'; readonly gateway: string; readonly reason: string };

/** Parses the JSON text of `CountersResponse.counters`. Text that this version cannot read counts as no answer. */
export function parseGatewayAnswer(gateway: string, text: string): GatewayAnswer {
  const parsed = serviceLevelCountersSchema.safeParse(parseJson(text));
  if (!parsed.success) {
    return { type: 'noAnswer', gateway, reason: 'its counters are of another version' };
  }
  return { type: 'counters', gateway, counters: parsed.data };
}

/** Returns the start of the bucket that contains a time. */
export function findBucketStart(resolution: Resolution, time: WallTime): WallTime {
  return Math.floor(time / resolution.bucketLength) * resolution.bucketLength;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
