import { z } from 'zod';

import type { WallTime } from '../common/index.js';

/** Counters of service levels as a gateway keeps them and as `GatewayService.Counters` carries them. */

/**
 * How a request ended, as far as its service level goes.
 * Requests that the caller got wrong and requests that the caller gave up on are not recorded at all.
 */
export type ServiceLevelOutcome = 'whole' | 'failed' | 'notRun';

const minute = 60_000;
const hour = 60 * minute;

/** A resolution at which counters are kept. Times are in milliseconds. */
export interface Resolution {
  readonly bucketLength: number;
  /** Buckets kept, the present one included. */
  readonly bucketCount: number;
}

/** One-minute buckets for 6 hours. */
export const minuteResolution: Resolution = { bucketLength: minute, bucketCount: 360 };

/** One-hour buckets for 3 days. */
export const hourResolution: Resolution = { bucketLength: hour, bucketCount: 72 };

/** Targets that one gateway keeps counters of; what goes beyond is counted as unrecorded. */
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

/** All that one gateway knows of its service levels. */
export const serviceLevelCountersSchema = z
  .strictObject({
    /** Wall time since which it counts: its last start. */
    since: z.number(),
    /** Requests of targets beyond the bound, which are in no bucket. */
    unrecorded: z.int().min(0),
    targets: z.array(targetSchema).max(maximumTargets).readonly(),
  })
  .readonly();

export type ServiceLevelBucket = z.infer<typeof bucketSchema>;
export type TargetCounters = z.infer<typeof targetSchema>;
export type ServiceLevelCounters = z.infer<typeof serviceLevelCountersSchema>;

/** What became of asking one gateway for its counters. */
export type GatewayAnswer =
  | {
      readonly type: 'counters';
      readonly gateway: string;
      readonly counters: ServiceLevelCounters;
    }
  | { readonly type: 'noAnswer'; readonly gateway: string; readonly reason: string };

/** Reads the JSON text of `CountersResponse.counters`; what this version cannot read counts as no answer. */
export function parseGatewayAnswer(gateway: string, text: string): GatewayAnswer {
  const parsed = serviceLevelCountersSchema.safeParse(parseJson(text));
  if (!parsed.success) {
    return { type: 'noAnswer', gateway, reason: 'its counters are of another version' };
  }
  return { type: 'counters', gateway, counters: parsed.data };
}

/** Start of the bucket that holds a time. */
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
