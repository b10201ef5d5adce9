import type { Milliseconds, WallTime } from '../common/index.js';
import { BucketRing } from './bucket-ring.js';
import {
  hourResolution,
  maximumTargets,
  minuteResolution,
  type ServiceLevelCounters,
  type ServiceLevelOutcome,
} from './counters.js';

interface TargetRings {
  readonly minutes: BucketRing;
  readonly hours: BucketRing;
}

/**
 * Counts request outcomes for `report burn`. Each gateway has one, in memory only.
 * Memory is bounded: {@link maximumTargets} targets of 432 buckets, each some hundred bytes once closed.
 */
export class ServiceLevelRecorder {
  readonly #since: WallTime;
  readonly #targets = new Map<string, TargetRings>();
  #unrecorded = 0;

  /** @param since - Wall time at which the gateway started to count. */
  constructor(since: WallTime) {
    this.#since = since;
  }

  /**
   * Counts one request that received its final answer.
   * @param target - Name of the group declaration or plain service.
   * @param firstTokenMilliseconds - From the request's arrival to the first byte of its answer; undefined if none came.
   * @param now - Wall time of the final answer.
   */
  record(
    target: string,
    outcome: ServiceLevelOutcome,
    firstTokenMilliseconds: Milliseconds | undefined,
    now: WallTime,
  ): void {
    const rings = this.#findOrCreateRings(target, now);
    if (rings === undefined) {
      this.#unrecorded += 1;
      return;
    }
    rings.minutes.record(outcome, firstTokenMilliseconds, now);
    rings.hours.record(outcome, firstTokenMilliseconds, now);
  }

  /** Returns the counters still retained at a wall time. */
  read(now: WallTime): ServiceLevelCounters {
    const targets = [...this.#targets].map(([target, rings]) => ({
      target,
      minutes: rings.minutes.read(now),
      hours: rings.hours.read(now),
    }));
    return {
      since: this.#since,
      unrecorded: this.#unrecorded,
      targets: targets.filter((counters) => counters.hours.length > 0),
    };
  }

  #findOrCreateRings(target: string, now: WallTime): TargetRings | undefined {
    const known = this.#targets.get(target);
    if (known !== undefined) {
      return known;
    }
    if (this.#targets.size >= maximumTargets) {
      this.#evictIdleTargets(now);
    }
    if (this.#targets.size >= maximumTargets) {
      return undefined;
    }
    const rings = {
      minutes: new BucketRing(minuteResolution),
      hours: new BucketRing(hourResolution),
    };
    this.#targets.set(target, rings);
    return rings;
  }

  /** Evicts targets without retained buckets. Targets removed from the configuration days ago would otherwise block new ones forever. */
  #evictIdleTargets(now: WallTime): void {
    for (const [target, rings] of this.#targets) {
      if (rings.hours.read(now).length === 0) {
        this.#targets.delete(target);
      }
    }
  }
}
