import type { Milliseconds } from '../../common/index.js';
import {
  findBurst,
  findOwnRate,
  findSharedRate,
  rateLifetime,
  shareReservation,
  type ColdAnswer,
  type ColdDemand,
  type ColdLimit,
  type ColdReport,
} from '../../dispatch/index.js';
import { ColdGateway } from './cold-gateway.js';

/**
 * Divides the requests that cold upstreams tolerate among gateways, on the leader; free of I/O.
 * At any time, the rates that all gateways may be using add up to at most the limit of the upstream: what was granted and is neither expired
 * nor replaced by an acknowledged answer, and the own shares of gateways that may have lost their connection to this leader.
 */

/** A control host grants rates only while it was in contact with a quorum this recently; a later leader has not granted any before then. */
export const leadershipStaleness: Milliseconds = 1000;
/** Until then, gateways that have not acknowledged an answer of this leader may use what its predecessor granted. */
const takeoverTime: Milliseconds = leadershipStaleness + rateLifetime;
/** Within this time the leader has heard all gateways that reach it; before, it does not say how many there are. */
const settleTime: Milliseconds = 2000;
/** For this long, an upstream is divided by the traffic of the gateways, then by what each wanted to send there. */
const introductionTime: Milliseconds = 1000;
/** Part of the declared rate that stays for rates if many gateways want to send. */
const dividedPart = 0.75;
/** An upstream that nobody has asked for within this time is new when it is asked for again. */
const askedRetention: Milliseconds = 3000;
/** Lower rates are not granted: each grant reserves a burst of one request. */
const lowestRate = 0.2;

export class ColdAllocator {
  readonly #gateways = new Map<string, ColdGateway>();
  /** Since when, and when last, a rate for each cold upstream was asked for. */
  readonly #asked = new Map<string, { readonly since: Milliseconds; readonly at: Milliseconds }>();
  readonly #term: number;
  readonly #startedAt: Milliseconds;
  #lastNumber = 0;
  /** Largest number of gateways that an earlier leader has told one of them. */
  #inheritedCount = 0;

  /** `term`: term of this leader. */
  constructor(term: number, now: Milliseconds) {
    this.#term = term;
    this.#startedAt = now;
  }

  get term(): number {
    return this.#term;
  }

  allocate(name: string, report: ColdReport, now: Milliseconds): Omit<ColdAnswer, 'notices'> {
    const gateway = this.#gateways.get(name) ?? new ColdGateway(now);
    this.#gateways.set(name, gateway);
    const isOwn = report.acknowledged?.term === this.#term;
    gateway.noteReport(report, isOwn ? report.acknowledged.number : undefined, now);
    if (!isOwn) {
      this.#inheritedCount = Math.max(this.#inheritedCount, report.gateways);
    }
    this.#removeExpired(now);
    const rates = new Map<string, number>();
    for (const demand of report.upstreams) {
      this.#noteAsked(demand.upstream, now);
      const rate = this.#findRate(gateway, demand, now);
      if (rate >= lowestRate) {
        rates.set(demand.upstream, rate);
      }
    }
    this.#lastNumber += 1;
    const gateways = this.#countGateways(now);
    gateway.noteAnswer({ number: this.#lastNumber, sentAt: now, rates }, gateways);
    return { term: this.#term, number: this.#lastNumber, gateways, rates };
  }

  /** Drops the upstreams that are not listed. */
  retain(upstreams: ReadonlySet<string>): void {
    for (const upstream of this.#asked.keys()) {
      if (!upstreams.has(upstream)) {
        this.#asked.delete(upstream);
      }
    }
  }

  /** Gateways that may have an own share; 0 while this leader does not know. */
  #countGateways(now: Milliseconds): number {
    const isSettled = now - this.#startedAt >= settleTime;
    return isSettled || this.#inheritedCount > 0
      ? Math.max(this.#gateways.size, this.#inheritedCount)
      : 0;
  }

  #findRate(gateway: ColdGateway, demand: ColdDemand, now: Milliseconds): number {
    const others = [...this.#gateways.values()].filter((other) => other !== gateway);
    const unknown = Math.max(0, this.#inheritedCount - this.#gateways.size);
    if (now - this.#startedAt < takeoverTime && !this.#isAllAcknowledged(unknown)) {
      return 0;
    }
    const inUse = this.#sumInUse(others, unknown, demand, now);
    const mostBursts = findMostBursts(demand);
    const ownBurst = gateway.findBurst(demand.upstream, now);
    if (inUse.bursts >= mostBursts && ownBurst === 0) {
      return 0;
    }
    const weights = this.#findWeights(demand.upstream, mostBursts, now);
    const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
    const share = total === 0 ? 0 : (weights.get(gateway) ?? 0) / total;
    const gateways = Math.max(this.#gateways.size, this.#inheritedCount);
    const pool = findSharedRate(demand, Math.min(mostBursts, gateways)) - inUse.ownShares;
    const wanted = Math.max(0, pool * share);
    const bursts = inUse.bursts + Math.max(ownBurst, findBurst(wanted));
    const free = findSharedRate(demand, bursts) - inUse.granted - inUse.ownShares;
    return Math.max(0, Math.min(free, wanted));
  }

  /** Whether nobody can still use what an earlier leader granted: as many as it told of have acknowledged an answer of this one. */
  #isAllAcknowledged(unknown: number): boolean {
    const isCountKnown = this.#inheritedCount > 0 && unknown === 0;
    return isCountKnown && [...this.#gateways.values()].every(({ isBound }) => isBound);
  }

  /** What the other gateways may be using, or may come to use, before a rate granted now expires. */
  #sumInUse(
    others: readonly ColdGateway[],
    unknown: number,
    demand: ColdDemand,
    now: Milliseconds,
  ): InUse {
    const sum = { granted: 0, ownShares: 0, bursts: unknown };
    sum.ownShares += unknown * findOwnRate(demand, this.#inheritedCount);
    for (const other of others) {
      const ownRate = other.findOwnRate(demand, now + rateLifetime);
      const granted = other.findGranted(demand.upstream, now);
      if (ownRate > granted) {
        sum.ownShares += ownRate;
      } else {
        sum.granted += granted;
      }
      sum.bursts += Math.max(findBurst(ownRate), other.findBurst(demand.upstream, now));
    }
    return sum;
  }

  /** Gateways that want to send to the upstream, by how much; those that want most if there are too many. */
  #findWeights(
    upstream: string,
    mostGateways: number,
    now: Milliseconds,
  ): ReadonlyMap<ColdGateway, number> {
    const isNew = now - (this.#asked.get(upstream)?.since ?? now) < introductionTime;
    const weights = [...this.#gateways.values()].map((gateway): [ColdGateway, number] => {
      return [gateway, isNew ? gateway.findTraffic(now) : gateway.findWanted(upstream, now)];
    });
    const wanting = weights.filter(([, weight]) => weight > 0);
    return new Map(wanting.sort(([, one], [, other]) => other - one).slice(0, mostGateways));
  }

  #noteAsked(upstream: string, now: Milliseconds): void {
    const known = this.#asked.get(upstream);
    const isKnown = known !== undefined && now - known.at < askedRetention;
    this.#asked.set(upstream, { since: isKnown ? known.since : now, at: now });
  }

  #removeExpired(now: Milliseconds): void {
    for (const [name, { reportedAt }] of this.#gateways) {
      if (now - reportedAt > shareReservation) {
        this.#gateways.delete(name);
      }
    }
    if (now - this.#startedAt > shareReservation) {
      this.#inheritedCount = 0;
    }
  }
}

interface InUse {
  readonly granted: number;
  readonly ownShares: number;
  /** Requests that they may send at any moment in addition. */
  readonly bursts: number;
}

/** Most gateways that get a rate at the same time, so that three quarters of the declared rate are left to divide. */
function findMostBursts(limit: ColdLimit): number {
  const left = findSharedRate({ ...limit, requestsPerSecond: Number.POSITIVE_INFINITY }, 0);
  return Math.max(1, Math.floor(left - dividedPart * limit.requestsPerSecond));
}
