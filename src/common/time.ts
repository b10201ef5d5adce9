/** Types for time. Decision code gets the time passed in and never reads a clock itself. */

/** A duration or a reading of a monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** Wall-clock time in milliseconds since 1970-01-01 UTC; only for records and reports, never for leases, because it can be set. */
export type WallTime = number;

/** Time source for the I/O shells. Controllers receive its readings in their events. */
export interface Clock {
  /** Monotonic milliseconds since an arbitrary origin; unaffected by changes to the wall clock. */
  readonly monotonic: () => Milliseconds;
  /** Wall-clock milliseconds. */
  readonly wall: () => WallTime;
}

/** The clock of this process. */
export const systemClock: Clock = {
  monotonic: () => performance.now(),
  wall: () => Date.now(),
};
