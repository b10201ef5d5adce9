import type { Milliseconds } from '../common/index.js';

/** Interface to the requests that wait at one gateway for a slot of the upstreams of one service and model. */

/** What the order of waiting requests depends on. */
export interface QueueEntry {
  /** Unique among waiting requests. */
  readonly id: string;
  /** Empty if the route requires no key. */
  readonly account: string;
  /** Requests of the same route are one class; no class is starved. */
  readonly route: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Work for the upstream, in any unit that is the same for all requests in the queue. */
  readonly work: number;
  readonly arrivedAt: Milliseconds;
  /** Time by which the first byte of the response is due; undefined if the route has no objective. */
  readonly objectiveAt: Milliseconds | undefined;
  /** Time at which it is refused if it still waits. */
  readonly refuseAt: Milliseconds;
  /** Upstreams that the request has tried. Requests with equal values can be served by the same upstreams. */
  readonly tried: string;
}

/**
 * `waitedTooLong`: the time at which it was to be refused has come. `noRoomInTime`: it is not expected to leave the queue before that time,
 * so it is refused at once.
 */
export type DropReason = 'waitedTooLong' | 'noRoomInTime';

/** A request that is refused, and why. */
export interface DroppedEntry<Entry extends QueueEntry> {
  readonly entry: Entry;
  readonly reason: DropReason;
  /** Number of requests that would have left the queue before it. */
  readonly position: number;
  /** Infinite if it would never have left. */
  readonly expectedWait: Milliseconds;
  /** Mean time between two slots that become free. */
  readonly slotInterval: Milliseconds;
}

/** The caller of `offer` calls `next` until it returns undefined and then `expire`, so that nothing is refused while there is a free slot. */
export interface RequestQueue<Entry extends QueueEntry> {
  readonly length: number;
  offer(entry: Entry, now: Milliseconds): void;
  /** Removes and returns the first request for which there is a slot; undefined if there is none. */
  next(now: Milliseconds, isServable: (entry: Entry) => boolean): Entry | undefined;
  /** Removes and returns the requests that must be refused now. */
  expire(now: Milliseconds): readonly DroppedEntry<Entry>[];
  /** Removes a request that has ended or needs no slot any more. */
  withdraw(id: string): void;
}
