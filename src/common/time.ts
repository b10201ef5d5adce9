/** Time as the decisions see it: passed in, never read inside them. */

/** A duration or a reading of a monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** Wall-clock time in milliseconds since 1970-01-01 UTC; only for records and reports, never for leases. */
export type WallTime = number;

/** Source of time for shells; decisions get readings of it in their events. */
export interface Clock {
  /** Monotonic milliseconds since an arbitrary start; does not jump when the wall clock is set. */
  readonly monotonic: () => Milliseconds;
  /** Wall-clock milliseconds. */
  readonly wall: () => WallTime;
}

/** The clock of this process. */
export const systemClock: Clock = {
  monotonic: () => performance.now(),
  wall: () => Date.now(),
};
