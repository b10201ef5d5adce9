import type { Milliseconds } from '../common/index.js';
import type { ColdProfile } from '../routing/index.js';
import type { ColdAnswer, ColdLimit, ColdReport } from './cold-limits.js';
import { ColdPacer } from './cold-pacer.js';
import { ColdRecords } from './cold-records.js';

/** Limits the requests of one gateway to cold upstreams; free of I/O. Part of the permits of the gateway. */

/** Shortest time between two reports that ask for a rate; a new start should not wait for the next regular report. */
const minimumReportInterval: Milliseconds = 100;

/** How far the rate that a service declares may be exceeded in any sliding second, over all gateways. */
export interface ColdBounds {
  /** Factor on the declared rate. */
  readonly overrun: number;
  /** Requests in addition. */
  readonly slack: number;
}

export class ColdRequests {
  readonly #bounds: ColdBounds;
  readonly #records = new ColdRecords();
  readonly #pacer: ColdPacer;
  #profiles: ReadonlyMap<string, ColdProfile> = new Map();
  readonly #wanted = new Map<string, number>();
  /** Cold upstreams that a report has named. */
  #reported: ReadonlySet<string> = new Set();
  #reportedAt: Milliseconds;

  constructor(bounds: ColdBounds, now: Milliseconds) {
    this.#bounds = bounds;
    this.#pacer = new ColdPacer(now);
    this.#reportedAt = now;
  }

  /** Takes all present starts of services that declare a cold rate. One that is new here counts as cold, because no better is known. */
  list(profiles: ReadonlyMap<string, ColdProfile>, now: Milliseconds): number {
    this.#profiles = profiles;
    const durations = [...profiles].map(([key, { duration }]): [string, Milliseconds] => {
      return [key, duration];
    });
    this.#pacer.retain(new Set(profiles.keys()));
    return this.#records.list(new Map(durations), now);
  }

  /** The failure domain of these upstreams is back in service. */
  noteReturned(upstreams: readonly string[], now: Milliseconds): void {
    for (const upstream of upstreams) {
      const profile = this.#profiles.get(upstream);
      if (profile !== undefined) {
        this.#records.noteReturned(upstream, profile.duration, now);
      }
    }
  }

  /** The upstream stated how much longer it is cold. Returns whether that makes a warm one cold. */
  noteStated(upstream: string, coldFor: Milliseconds, now: Milliseconds): boolean {
    const wasCold = this.isCold(upstream, now);
    this.#records.merge({ upstream, coldFor, age: 0 }, now);
    return !wasCold && this.isCold(upstream, now);
  }

  isCold(upstream: string, now: Milliseconds): boolean {
    return this.#profiles.has(upstream) && this.#records.coldFor(upstream, now) > 0;
  }

  maySend(upstream: string, now: Milliseconds): boolean {
    const limit = this.#findLimit(upstream);
    if (limit === undefined || !this.isCold(upstream, now)) {
      return true;
    }
    return this.#pacer.maySend(upstream, limit, now);
  }

  /** Counts a request that is eligible for the upstream, cold or not: the leader divides new starts by the traffic of before. */
  noteWanted(upstream: string): void {
    if (this.#profiles.has(upstream)) {
      this.#wanted.set(upstream, (this.#wanted.get(upstream) ?? 0) + 1);
    }
  }

  noteSent(upstream: string, now: Milliseconds): void {
    const limit = this.#findLimit(upstream);
    if (limit !== undefined) {
      this.#pacer.noteSent(upstream, limit, now);
    }
  }

  noteWritten(upstream: string, now: Milliseconds): void {
    this.#pacer.noteWritten(upstream, now);
  }

  noteUnsent(upstream: string): void {
    this.#pacer.noteUnsent(upstream);
  }

  noteMisdirected(upstream: string): void {
    this.#pacer.noteMisdirected(upstream);
  }

  /** Whether a cold upstream has no rate and asking for one should not wait for the next regular report. */
  isReportDue(now: Milliseconds): boolean {
    return (
      now - this.#reportedAt >= minimumReportInterval &&
      this.#listCold(now).some((upstream) => {
        const isUnasked = !this.#reported.has(upstream) || this.#wanted.has(upstream);
        return isUnasked && this.#pacer.grantedRate(upstream, now) === 0;
      })
    );
  }

  /** Returns the report for the current interval; undefined if no service declares a cold rate. */
  takeReport(now: Milliseconds): ColdReport | undefined {
    if (this.#profiles.size === 0) {
      return undefined;
    }
    const cold = this.#listCold(now);
    const upstreams = cold.flatMap((upstream) => {
      const limit = this.#findLimit(upstream);
      const wanted = this.#wanted.get(upstream) ?? 0;
      return limit === undefined ? [] : [{ upstream, wanted, ...limit }];
    });
    const requests = [...this.#wanted.values()].reduce((sum, count) => sum + count, 0);
    const { gateways, acknowledged } = this.#pacer;
    this.#wanted.clear();
    this.#reported = new Set(cold);
    this.#reportedAt = now;
    const notices = this.#records.describe([], now);
    return { gateways, acknowledged, requests, upstreams, notices };
  }

  /** Applies the answer to the report taken at `reportedAt`. */
  apply(answer: ColdAnswer, reportedAt: Milliseconds, now: Milliseconds): void {
    this.#pacer.apply(answer, reportedAt, now);
    for (const notice of answer.notices) {
      // Ages count from the report, so that statements do not look newer with each exchange.
      this.#records.merge({ ...notice, age: notice.age + now - reportedAt }, now);
    }
  }

  #listCold(now: Milliseconds): readonly string[] {
    return this.#records.listCold(now).filter((upstream) => this.#profiles.has(upstream));
  }

  #findLimit(upstream: string): ColdLimit | undefined {
    const profile = this.#profiles.get(upstream);
    if (profile === undefined) {
      return undefined;
    }
    const { requestsPerSecond } = profile;
    const { overrun, slack } = this.#bounds;
    return { requestsPerSecond, mostPerSecond: requestsPerSecond * overrun + slack };
  }
}
