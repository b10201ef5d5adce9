import type { Milliseconds } from '../common/index.js';
import { hourResolution, minuteResolution, type Resolution } from './counters.js';

/**
 * Windows over which burn rates are measured.
 * A burn rate is the share of bad requests divided by the share that the objective allows: at 1 the error budget of
 * 30 days lasts exactly 30 days. An alert fires when both of its windows reach the threshold: the long one shows that
 * the loss is significant, the short one that it is still going on.
 */

const minute = 60_000;
const hour = 60 * minute;
const day = 24 * hour;

/** One window: a whole number of buckets, ending with the current one. */
export interface BurnWindow {
  readonly name: string;
  readonly length: Milliseconds;
  readonly resolution: Resolution;
}

/** How to respond to a firing alert: page someone at once, or handle it in working hours. */
export type BurnSeverity = 'page' | 'ticket';

/** Two windows and the burn rate at which the alert fires. */
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

/** Window of the percentiles in a report. */
export const percentileWindow = oneHour;

/** At their thresholds the rules spend 2%, 5%, 10% and 10% of the 30-day error budget within the long window. */
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
