import type { Milliseconds } from '../common/index.js';
import {
  findBurst,
  findOwnRate,
  ownShareDelay,
  ownShareLifetime,
  rateLifetime,
  type ColdAcknowledgement,
  type ColdAnswer,
  type ColdLimit,
} from './cold-limits.js';

/**
 * Paces the requests of one gateway to cold upstreams; free of I/O.
 * In any sliding second it sends at most the burst of its rate to an upstream, plus what the rate allows in that second.
 */

const millisecondsPerSecond = 1000;
/** Time without a request after which one may be sent at once when the gateway obtains a rate. */
const restTime: Milliseconds = 1000;
/** A request written this much later than it was assigned has waited for a connection, not for its turn in the process. */
const connectTolerance: Milliseconds = 20;

interface Bucket {
  /** Requests that may be sent now; includes the fraction that the next one has earned. */
  earned: number;
  updatedAt: Milliseconds;
  sentAt: Milliseconds;
  /** Requests that are assigned but still wait for a connection. */
  unsent: number;
  /** Whether the rate was 0 at the last update. */
  isStopped: boolean;
  limit: ColdLimit;
}

interface Grant {
  readonly acknowledged: ColdAcknowledgement;
  readonly rates: ReadonlyMap<string, number>;
  readonly ratesUntil: Milliseconds;
  readonly receivedAt: Milliseconds;
}

export class ColdPacer {
  readonly #buckets = new Map<string, Bucket>();
  readonly #startedAt: Milliseconds;
  #grant: Grant | undefined;
  /** 0 until the leader has told it. */
  #gateways = 0;

  constructor(now: Milliseconds) {
    this.#startedAt = now;
  }

  get gateways(): number {
    return this.#gateways;
  }

  get acknowledged(): ColdAcknowledgement | undefined {
    return this.#grant?.acknowledged;
  }

  /** Rate granted for an upstream and still valid; 0 if there is none. */
  grantedRate(upstream: string, now: Milliseconds): number {
    const grant = this.#grant;
    return grant !== undefined && now < grant.ratesUntil ? (grant.rates.get(upstream) ?? 0) : 0;
  }

  maySend(upstream: string, limit: ColdLimit, now: Milliseconds): boolean {
    const bucket = this.#find(upstream, limit);
    this.#earn(upstream, bucket, now);
    return bucket.earned >= 1 && bucket.unsent === 0;
  }

  noteSent(upstream: string, limit: ColdLimit, now: Milliseconds): void {
    const bucket = this.#find(upstream, limit);
    this.#earn(upstream, bucket, now);
    bucket.unsent += 1;
    bucket.sentAt = now;
    bucket.earned = Math.max(0, bucket.earned - 1);
  }

  /** The request is written to a connection. What was earned while it waited for one does not count, so that none follows at once. */
  noteWritten(upstream: string, now: Milliseconds): void {
    const bucket = this.#buckets.get(upstream);
    if (bucket !== undefined) {
      bucket.unsent = Math.max(0, bucket.unsent - 1);
      if (now - bucket.sentAt > connectTolerance) {
        bucket.sentAt = now;
        bucket.earned = 0;
        bucket.updatedAt = now;
      }
    }
  }

  /** The request was withdrawn before it was written. */
  noteUnsent(upstream: string): void {
    const bucket = this.#buckets.get(upstream);
    if (bucket !== undefined && bucket.unsent > 0) {
      bucket.unsent -= 1;
      bucket.earned = Math.min(1, bucket.earned + 1);
    }
  }

  /** The upstream answered that the request was meant for another one; such requests do not count. */
  noteMisdirected(upstream: string): void {
    const bucket = this.#buckets.get(upstream);
    if (bucket !== undefined) {
      bucket.earned = Math.min(1, bucket.earned + 1);
    }
  }

  /** Applies the answer to the report sent at `reportedAt`; ignores one that is older than the last. */
  apply(answer: ColdAnswer, reportedAt: Milliseconds, now: Milliseconds): void {
    const { term, number, gateways, rates } = answer;
    if (this.#grant !== undefined && isReplaced(answer, this.#grant, now)) {
      return;
    }
    const ratesUntil = reportedAt + rateLifetime;
    for (const [upstream, bucket] of this.#buckets) {
      this.#earn(upstream, bucket, now);
    }
    this.#grant = { acknowledged: { term, number }, rates, ratesUntil, receivedAt: now };
    this.#gateways = gateways > 0 ? gateways : this.#gateways;
  }

  retain(upstreams: ReadonlySet<string>): void {
    for (const upstream of this.#buckets.keys()) {
      if (!upstreams.has(upstream)) {
        this.#buckets.delete(upstream);
      }
    }
  }

  /** Adds what was earned since the last update: first at the granted rate, then nothing, then at the gateway's own share. */
  #earn(upstream: string, bucket: Bucket, now: Milliseconds): void {
    const grant = this.#grant;
    const ratesUntil = grant?.ratesUntil ?? Number.NEGATIVE_INFINITY;
    const ownFrom = (grant?.receivedAt ?? Number.POSITIVE_INFINITY) + ownShareDelay;
    const ownUntil = (grant?.receivedAt ?? Number.NEGATIVE_INFINITY) + ownShareLifetime;
    this.#earnUntil(bucket, Math.min(now, ratesUntil), grant?.rates.get(upstream) ?? 0);
    this.#earnUntil(bucket, Math.min(now, ownFrom), 0);
    this.#earnUntil(bucket, Math.min(now, ownUntil), findOwnRate(bucket.limit, this.#gateways));
    this.#earnUntil(bucket, now, 0);
  }

  /** Whatever was earned is lost while the rate is 0, because the leader then counts on no request of this gateway. */
  #earnUntil(bucket: Bucket, until: Milliseconds, rate: number): void {
    if (until <= bucket.updatedAt) {
      return;
    }
    const elapsed = until - bucket.updatedAt;
    bucket.updatedAt = until;
    if (rate === 0) {
      bucket.earned = 0;
    } else if (bucket.isStopped && until - bucket.sentAt >= restTime) {
      bucket.earned = 1;
    } else {
      const earned = bucket.earned + (rate * elapsed) / millisecondsPerSecond;
      bucket.earned = Math.min(findBurst(rate), earned);
    }
    bucket.isStopped = rate === 0;
  }

  #find(upstream: string, limit: ColdLimit): Bucket {
    const known = this.#buckets.get(upstream);
    if (known !== undefined) {
      known.limit = limit;
      return known;
    }
    // A restarted gateway does not know what it sent before, so it rests first.
    const sentAt = this.#startedAt;
    const created = { earned: 0, updatedAt: sentAt, sentAt, unsent: 0, isStopped: true, limit };
    this.#buckets.set(upstream, created);
    return created;
  }
}

/**
 * Whether the answer is older than the last one. A new leader counts on the rates of the former one being no longer used here. After a long
 * silence a lower term is accepted, because control may have started anew without its log.
 */
function isReplaced(answer: ColdAnswer, last: Grant, now: Milliseconds): boolean {
  const { term, number } = last.acknowledged;
  const isOlder = answer.term < term || (answer.term === term && answer.number <= number);
  return isOlder && now - last.receivedAt < ownShareDelay;
}
