import type { Milliseconds } from '../common/index.js';
import type { ColdNotice } from './cold-records.js';

/** What gateways and the leader agree on for requests to cold upstreams; free of I/O. */

const millisecondsPerSecond = 1000;
/**
 * A granted rate is valid for this long after the gateway sent the report that it answers. Gateways report twice a second, so one lost
 * exchange does not interrupt them.
 */
export const rateLifetime: Milliseconds = 1500;
/**
 * A gateway uses its own share only if it has received no answer for this long. The leader grants that share to others while the answer
 * that a gateway last acknowledged is younger than `ownShareDelay - rateLifetime`; in normal operation its age is at most one second.
 */
export const ownShareDelay: Milliseconds = 3000;
/** Without an answer for this long, a gateway has no own share any more. */
export const ownShareLifetime: Milliseconds = 600_000;
/** How long the leader reserves the share of a gateway that no longer reports: its own share has ended by then. */
export const shareReservation: Milliseconds = ownShareLifetime + 5000;
/** Part of the bound that is left unused: links deliver requests of slightly more than one second within one second. */
const reservedRequests = 2;

/** Limits of one cold upstream over all gateways. */
export interface ColdLimit {
  /** Sustained rate. */
  readonly requestsPerSecond: number;
  /** Most requests in any sliding second. */
  readonly mostPerSecond: number;
}

/** Time in which a rate allows as many requests as may be sent at once. With one request at once, irregular arrivals waste a quarter of a rate. */
const burstTime: Milliseconds = 125;

/** Requests that a gateway with this rate may send at any moment in addition. */
export function findBurst(rate: number): number {
  return rate === 0 ? 0 : Math.max(1, (rate * burstTime) / millisecondsPerSecond);
}

/** Rate that all gateways together may have, if they may also send `bursts` requests at any moment. */
export function findSharedRate(
  { requestsPerSecond, mostPerSecond }: ColdLimit,
  bursts: number,
): number {
  return Math.max(0, Math.min(requestsPerSecond, mostPerSecond - reservedRequests - bursts));
}

/**
 * Rate that each gateway may use without asking; 0 if there are so many gateways that one request of each exceeds the bound, or if their
 * number is unknown (0).
 */
export function findOwnRate(limit: ColdLimit, gateways: number): number {
  return gateways < 1 ? 0 : findSharedRate(limit, gateways) / gateways;
}

/** Request of one gateway for rates, as part of its demand report. */
export interface ColdReport {
  /** Number of gateways that it was last told; 0 if it has not been told since its start. */
  readonly gateways: number;
  /** The last answer that it received; undefined if none since its start. */
  readonly acknowledged: ColdAcknowledgement | undefined;
  /** Requests for services with cold upstreams since the previous report. */
  readonly requests: number;
  readonly upstreams: readonly ColdDemand[];
  /** What upstreams have stated to this gateway. */
  readonly notices: readonly ColdNotice[];
}

/** Identifies an answer. */
export interface ColdAcknowledgement {
  /** Term of the leader that sent it. */
  readonly term: number;
  /** Increases with each answer of one term. */
  readonly number: number;
}

/** An upstream that a gateway takes to be cold. */
export interface ColdDemand extends ColdLimit {
  readonly upstream: string;
  /** Requests eligible for it since the previous report. */
  readonly wanted: number;
}

/** Answer of the leader. Upstreams that are not listed in `rates` have a rate of 0. */
export interface ColdAnswer extends ColdAcknowledgement {
  /** Gateways that may have an own share; 0 while the leader does not know. */
  readonly gateways: number;
  /** Requests per second that the gateway may send to each cold upstream. */
  readonly rates: ReadonlyMap<string, number>;
  readonly notices: readonly ColdNotice[];
}
