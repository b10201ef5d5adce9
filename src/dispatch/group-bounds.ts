import { LRUCache } from 'lru-cache';

import type { Milliseconds, RandomSource } from '../common/index.js';
import type { Target } from './target-list.js';
import { probeInterval, type KnownLoad, type TargetLoads } from './target-loads.js';
import type { TimedRequest, UpstreamTimes } from './upstream-times.js';

/**
 * Bounds the requests that all gateways together give a group of engines, so that the expected time to the first event meets the objective;
 * performs no I/O.
 * Load pattern: a burst arrives, or a third of the groups is lost. The others get what their slots hold and more, because several gateways
 * see the same free slots. They then work on requests that are late already, and every later one waits behind these for ten seconds.
 */

export interface BoundedRequest extends TimedRequest {
  /** Longest time to the first event that is in time; undefined if the route has no objective. */
  readonly objective: Milliseconds | undefined;
  /** Time since its caller asked. */
  readonly waited: Milliseconds;
}

export interface GroupBoundsOptions {
  readonly loads: TargetLoads;
  readonly times: UpstreamTimes;
  readonly random: RandomSource;
}

/**
 * Share of the objective that the time at the group may take; the rest is for the wait at the gateway. In the replay of an overload, 0.5 and
 * 1 kept fewer requests in time.
 */
const shareOfObjective = 0.7;
/**
 * Share of the slots that a group gets in any case. Otherwise a group that is slower than the objective would stand idle while callers wait,
 * and a long prompt would never be sent.
 */
const leastShareOfSlots = 0.4;
/** The same for a request that has waited for more than `patientShare` of its objective: callers should not be refused while half of all slots are free. */
const leastShareAfterWait = 0.55;
const patientShare = 0.4;
/** A group gets no more than its least share while a request has waited there for this share of its objective, since others wait behind it. */
const overdueShare = 0.5;
/** Share of the bound that late requests may fill, so that one that can be in time finds a place. In the replay, 1 kept fewer in time. */
const lateShareOfBound = 0.9;
const maximumGroups = 10_000;

export class GroupBounds {
  readonly #options: GroupBoundsOptions;
  /** Random number that belongs to the last load report of each group. */
  readonly #draws = new LRUCache<string, { reportedAt: Milliseconds; draw: number }>({
    max: maximumGroups,
  });

  constructor(options: GroupBoundsOptions) {
    this.#options = options;
  }

  /**
   * Whether the group can accept one more request of this gateway. A group that has never responded gets one request.
   * `sharers`: gateways that send to the group.
   */
  hasRoom(target: Target, request: BoundedRequest, sharers: number, now: Milliseconds): boolean {
    const known = this.#options.loads.read(target);
    const { own, others, unanswered, hasAnswered, reportedAt } = known;
    if (!hasAnswered && unanswered > 0) {
      return false;
    }
    if (own === 0 && now - reportedAt > probeInterval) {
      return true;
    }
    const bound = this.findBound(target, request, now);
    return own + others + 1 <= bound && own < this.#findShare(target.key, known, bound, sharers);
  }

  /** Requests of all gateways that the group may have, including one more like this. */
  findBound(target: Target, request: BoundedRequest, now: Milliseconds): number {
    const { loads, times } = this.#options;
    const { slots } = loads.read(target);
    const { objective, waited } = request;
    if (objective === undefined) {
      return slots;
    }
    const isPatient = waited <= objective * patientShare;
    const least = slots * (isPatient ? leastShareOfSlots : leastShareAfterWait);
    if (times.findLongestWait(target, now) > objective * overdueShare) {
      return least;
    }
    const bound = times.findBound(target, request, objective * shareOfObjective, now);
    const share = waited > objective ? lateShareOfBound : 1;
    return Math.max(least, Math.floor(bound ?? slots) * share);
  }

  /**
   * Requests that this gateway may have at the group until its next report. What was free or in excess at the last report is divided among
   * the gateways in proportion to what each has there. If each took all that is free, they would overfill the group together; if none gave
   * way, an excess would stay. A part of a request is decided at random, once per report.
   */
  #findShare(key: string, known: KnownLoad, bound: number, sharers: number): number {
    const { ownAtReport, others, reportedAt } = known;
    if (reportedAt === Number.NEGATIVE_INFINITY) {
      return bound;
    }
    const total = ownAtReport + others;
    const weight = (ownAtReport + 1) / (total + sharers);
    return ownAtReport + Math.floor((bound - total) * weight + this.#draw(key, reportedAt));
  }

  #draw(key: string, reportedAt: Milliseconds): number {
    const known = this.#draws.get(key);
    if (known?.reportedAt === reportedAt) {
      return known.draw;
    }
    const draw = this.#options.random.fraction();
    this.#draws.set(key, { reportedAt, draw });
    return draw;
  }
}
