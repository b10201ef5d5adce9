import type { Milliseconds } from '../../common/index.js';
import {
  findBurst,
  findOwnRate,
  ownShareDelay,
  rateLifetime,
  type ColdLimit,
  type ColdReport,
} from '../../dispatch/index.js';

/** What the leader knows of the rates of one gateway for cold upstreams; free of I/O. */

const millisecondsPerSecond = 1000;
/** Time constant of the measured traffic. Reports come at least twice a second; a single one without requests should not end a grant. */
const measureTime: Milliseconds = 1000;
/** A gateway that has lost its rate can have sent the burst of that rate within the last second. */
const burstRetention: Milliseconds = 1000;
/** Traffic of a gateway that has not reported for this long no longer counts. */
const trafficRetention: Milliseconds = 1500;
/** Requests per second below which a gateway does not want to send to an upstream. */
const lowestTraffic = 0.05;

interface SentAnswer {
  readonly number: number;
  readonly sentAt: Milliseconds;
  readonly rates: ReadonlyMap<string, number>;
}

interface EndedAnswer {
  readonly rates: ReadonlyMap<string, number>;
  readonly endedAt: Milliseconds;
}

interface Measure {
  readonly perSecond: number;
  readonly measuredAt: Milliseconds;
}

export class ColdGateway {
  /** Answers that the gateway may be acting on, the oldest first. */
  #answers: readonly SentAnswer[] = [];
  /** Answers that it no longer acts on, but did within the last second. */
  #ended: readonly EndedAnswer[] = [];
  readonly #wanted = new Map<string, Measure>();
  #traffic: Measure;
  #reportedAt: Milliseconds;
  /** Since when it has been without an answer at worst; undefined if it may use its own share already. */
  #answeredAt: Milliseconds | undefined;
  /** Whether it had not been told the number of gateways at its last report. */
  #isFresh = false;
  /** Whether it has acknowledged an answer of this leader, or has not received one of any leader. */
  #isBound = false;
  /** Smallest number of gateways that it may have been told. */
  #told = 0;

  constructor(now: Milliseconds) {
    this.#reportedAt = now;
    this.#traffic = { perSecond: 0, measuredAt: now };
  }

  get reportedAt(): Milliseconds {
    return this.#reportedAt;
  }

  get isBound(): boolean {
    return this.#isBound;
  }

  /** `acknowledged`: number of the last answer of this leader that it received. */
  noteReport(report: ColdReport, acknowledged: number | undefined, now: Milliseconds): void {
    const { gateways, requests, upstreams } = report;
    this.#reportedAt = now;
    this.#traffic = measure(this.#traffic, requests, now);
    for (const { upstream, wanted } of upstreams) {
      const before = this.#wanted.get(upstream) ?? { perSecond: 0, measuredAt: now - measureTime };
      this.#wanted.set(upstream, measure(before, wanted, now));
    }
    this.#told = gateways;
    this.#removeExpired(now);
    const isFresh = report.acknowledged === undefined;
    if (acknowledged !== undefined) {
      this.#acknowledge(acknowledged, now);
    } else if (!isFresh) {
      // It acts on an answer of another leader.
      this.#isBound = false;
      this.#answeredAt = undefined;
    } else if (!this.#isFresh) {
      // It has just started. Its own share begins a while after its first answer at the earliest.
      this.#isBound = true;
      this.#answeredAt = now;
    }
    this.#isFresh = isFresh;
  }

  noteAnswer(answer: SentAnswer, gateways: number): void {
    this.#answers = [...this.#answers, answer];
    if (gateways > 0) {
      this.#told = this.#told > 0 ? Math.min(this.#told, gateways) : gateways;
    }
  }

  /** Highest rate that it may be using. */
  findGranted(upstream: string, now: Milliseconds): number {
    this.#removeExpired(now);
    return Math.max(0, ...this.#answers.map(({ rates }) => rates.get(upstream) ?? 0));
  }

  /** Requests in addition to its rate that it may send, or may have sent within the last second. */
  findBurst(upstream: string, now: Milliseconds): number {
    this.#removeExpired(now);
    const rates = [...this.#answers, ...this.#ended].map((each) => each.rates.get(upstream) ?? 0);
    return findBurst(Math.max(0, ...rates));
  }

  /** Rate of its own share if it may use it before `until`; otherwise 0. */
  findOwnRate(limit: ColdLimit, until: Milliseconds): number {
    const isHeard = this.#answeredAt !== undefined && this.#answeredAt + ownShareDelay >= until;
    return isHeard ? 0 : findOwnRate(limit, this.#told);
  }

  /** Requests per second for services with cold upstreams; 0 if it has not reported lately. */
  findTraffic(now: Milliseconds): number {
    return readMeasure(this.#traffic, now);
  }

  /** Requests per second that are eligible for the upstream. */
  findWanted(upstream: string, now: Milliseconds): number {
    const wanted = this.#wanted.get(upstream);
    return wanted === undefined ? 0 : readMeasure(wanted, now);
  }

  #acknowledge(number: number, now: Milliseconds): void {
    const answer = this.#answers.find((each) => each.number === number);
    this.#isBound = true;
    if (answer === undefined) {
      // An answer that has expired, or that a later one replaced.
      return;
    }
    this.#answeredAt = answer.sentAt;
    this.#end(
      (each) => each.number < number,
      () => now,
    );
  }

  #end(
    isEnded: (answer: SentAnswer) => boolean,
    findEnd: (answer: SentAnswer) => Milliseconds,
  ): void {
    const ended = this.#answers.filter(isEnded).map((answer) => {
      return { rates: answer.rates, endedAt: findEnd(answer) };
    });
    this.#ended = [...this.#ended, ...ended];
    this.#answers = this.#answers.filter((answer) => !isEnded(answer));
  }

  #removeExpired(now: Milliseconds): void {
    const findEnd = ({ sentAt }: SentAnswer): Milliseconds => sentAt + rateLifetime;
    this.#end((answer) => findEnd(answer) <= now, findEnd);
    this.#ended = this.#ended.filter(({ endedAt }) => endedAt + burstRetention > now);
    for (const [upstream, { measuredAt }] of this.#wanted) {
      if (now - measuredAt > trafficRetention) {
        this.#wanted.delete(upstream);
      }
    }
  }
}

function measure({ perSecond, measuredAt }: Measure, count: number, now: Milliseconds): Measure {
  const elapsed = Math.max(1, now - measuredAt);
  const kept = Math.exp(-elapsed / measureTime);
  const current = (count * millisecondsPerSecond) / elapsed;
  return { perSecond: perSecond * kept + current * (1 - kept), measuredAt: now };
}

function readMeasure({ perSecond, measuredAt }: Measure, now: Milliseconds): number {
  return now - measuredAt > trafficRetention || perSecond < lowestTraffic ? 0 : perSecond;
}
