import type { Milliseconds } from '../common/index.js';
import { hourResolution, minuteResolution, type Resolution } from './counters.js';

/**
 * Windows over which burn rates are looked at.
 * A burn rate is the share of bad requests over the share that the objective allows: at 1 the allowance of 30 days
 * lasts just 30 days. An alert needs both of its windows above the threshold: the long one tells that enough was lost
 * to matter, the short one that it is still being lost.
 */

const minute = 60_000;
const hour = 60 * minute;
const day = 24 * hour;

/** One window; a whole number of buckets that ends with the present one. */
export interface BurnWindow {
  readonly name: string;
  readonly length: Milliseconds;
  readonly resolution: Resolution;
}

/** What to do about a burning alert: wake someone, or look at it in the day. */
export type BurnSeverity = 'page' | 'ticket';

/** Two windows and the burn rate at which they alert. */
export interface BurnAlertRule {
  readonly severity: BurnSeverity;
  readonly short: BurnWindow;
  readonly long: BurnWindow;
  readonly threshold: number;
}

const fiveMinutes = createWindow('5m', 5 * minute);
const halfHour = createWindow('30m', 30 * minute);
const oneHour = createWindow('1h', hour);
const twoHours = createWindow('2h', 2 * hour);
const sixHours = createWindow('6h', 6 * hour);
const oneDay = createWindow('1d', day);
const threeDays = createWindow('3d', 3 * day);

/** All windows, shortest first. */
export const burnWindows: readonly BurnWindow[] = [
  fiveMinutes,
  halfHour,
  oneHour,
  twoHours,
  sixHours,
  oneDay,
  threeDays,
];

/** Window of the percentiles that a report shows. */
export const percentileWindow = oneHour;

/** Thresholds spend 2%, 5%, 10% and 10% of 30 days' allowance within the long window. */
export const burnAlertRules: readonly BurnAlertRule[] = [
  { severity: 'page', short: fiveMinutes, long: oneHour, threshold: 14.4 },
  { severity: 'page', short: halfHour, long: sixHours, threshold: 6 },
  { severity: 'ticket', short: twoHours, long: oneDay, threshold: 3 },
  { severity: 'ticket', short: sixHours, long: threeDays, threshold: 1 },
];

function createWindow(name: string, length: Milliseconds): BurnWindow {
  const minutesKept = minuteResolution.bucketLength * minuteResolution.bucketCount;
  return { name, length, resolution: length <= minutesKept ? minuteResolution : hourResolution };
}
