import type { Milliseconds } from '../../common/index.js';
import { FairQueue, type FairRequest, type QueuedRequest } from '../../dispatch/index.js';
import type { AccountName, Load } from '../../model/index.js';
import { DrainRate } from './drain-rate.js';
import type { AttemptKey } from './messages.js';

/** An attempt that requests a slot of the upstream. */
export interface AdmissionRequest extends FairRequest {
  readonly key: AttemptKey;
  readonly account: AccountName;
  /** Time left until the request's deadline, at arrival. */
  readonly remaining: Milliseconds;
}

/** Admission decision for an attempt that has just arrived. */
export type AdmissionDecision =
  | { readonly type: 'start' }
  | { readonly type: 'queued' }
  | { readonly type: 'refused'; readonly retryAfter: Milliseconds };

/** Limits of the admission queue. */
export interface AdmissionLimits {
  /** An attempt with a longer estimated wait is refused immediately. */
  readonly maximumWait: Milliseconds;
  /** The same limit for an account that uses less than its share of the slots. */
  readonly maximumWaitUnderShare: Milliseconds;
  /** Memory limit: number of queued attempts, regardless of the drain rate. */
  readonly maximumQueued: number;
}

/** Waiting at most half a second leaves time for a first token within 0.7 s. */
export const defaultAdmissionLimits: AdmissionLimits = {
  maximumWait: 500,
  maximumWaitUnderShare: 5000,
  maximumQueued: 2000,
};

interface OccupiedSlot {
  readonly account: AccountName;
  readonly since: Milliseconds;
}

interface AccountUsage {
  weight: number;
  running: number;
  waiting: number;
}

/**
 * Admission control for one group's upstream: a limited number of slots, a queue with limited waiting time, and
 * weighted fair sharing.
 *
 * An attempt is refused immediately when, by the measured drain rate, it would wait too long. An account that uses less
 * than its share of the slots may wait longer: where responses take many seconds, the ordinary limit allows no queue at
 * all, and the account that sends the most would get every slot that is freed.
 */
export class AdmissionController {
  readonly #limits: AdmissionLimits;
  readonly #drainRate = new DrainRate();
  readonly #running = new Map<AttemptKey, OccupiedSlot>();
  readonly #usageByAccount = new Map<AccountName, AccountUsage>();
  readonly #queue = new FairQueue<AdmissionRequest>();
  #capacity = 1;

  constructor(limits: AdmissionLimits) {
    this.#limits = limits;
  }

  /** Load as reported to gateways. */
  get load(): Load {
    return { running: this.#running.size, queued: this.#queue.length, capacity: this.#capacity };
  }

  /** Sets the number of slots. Lowering it does not interrupt running attempts. */
  setCapacity(capacity: number): void {
    this.#capacity = Math.max(1, capacity);
  }

  /** Starts, queues or refuses an attempt that has just arrived. */
  request(request: AdmissionRequest, now: Milliseconds): AdmissionDecision {
    if (this.#hasFreeSlot() && this.#queue.length === 0) {
      this.#queue.recordImmediateStart(request);
      this.#updateUsage(request);
      this.#occupySlot(request, now);
      return { type: 'start' };
    }
    const ahead = this.#queue.countAhead(request);
    const wait = this.#drainRate.estimateWait(ahead + 1, this.#capacity);
    const maximumWait = this.#findMaximumWait(request);
    if (wait > maximumWait || this.#queue.length >= this.#limits.maximumQueued) {
      return { type: 'refused', retryAfter: this.estimateRetryAfter() };
    }
    this.#updateUsage(request).waiting += 1;
    this.#queue.add(request, now + maximumWait);
    return { type: 'queued' };
  }

  /** Frees the attempt's slot or removes it from the queue. A completed attempt's duration updates the drain rate. */
  release(key: AttemptKey, now: Milliseconds, hasCompleted: boolean): void {
    const running = this.#running.get(key);
    if (running === undefined) {
      const waiting = this.#queue.remove(key);
      if (waiting !== undefined) {
        this.#recordDequeue(waiting);
      }
      return;
    }
    this.#running.delete(key);
    this.#adjustUsage(running.account, -1, 0);
    if (hasCompleted) {
      this.#drainRate.recordServiceTime(now - running.since);
    }
  }

  /** Moves queued attempts into free slots. */
  startNext(now: Milliseconds): readonly AttemptKey[] {
    const started: AttemptKey[] = [];
    while (this.#hasFreeSlot()) {
      const next = this.#queue.dequeue();
      if (next === undefined) {
        break;
      }
      this.#occupySlot(next.request, now);
      this.#recordDequeue(next);
      started.push(next.request.key);
    }
    return started;
  }

  /** Removes the queued attempts whose maximum waiting time is over. */
  expire(now: Milliseconds): readonly AttemptKey[] {
    const expired = this.#queue.removeExpired(now);
    for (const waiting of expired) {
      this.#recordDequeue(waiting);
    }
    return expired.map((waiting) => waiting.request.key);
  }

  /** When a refused client should retry: once the current queue has drained. */
  estimateRetryAfter(): Milliseconds {
    return this.#drainRate.estimateWait(this.#queue.length + 1, this.#capacity);
  }

  #hasFreeSlot(): boolean {
    return this.#running.size < this.#capacity;
  }

  #findMaximumWait(request: AdmissionRequest): Milliseconds {
    const { maximumWait, maximumWaitUnderShare } = this.#limits;
    const limit = this.#isUnderShare(request) ? maximumWaitUnderShare : maximumWait;
    return Math.min(limit, request.remaining);
  }

  /**
   * Whether the account has fewer running and queued attempts than its share of the slots. This attempt's weight is
   * included in the total.
   */
  #isUnderShare(request: AdmissionRequest): boolean {
    const usage = this.#usageByAccount.get(request.account);
    let weights = usage === undefined ? request.weight : 0;
    for (const { weight } of this.#usageByAccount.values()) {
      weights += weight;
    }
    const share = Math.max(1, (this.#capacity * request.weight) / weights);
    return (usage?.running ?? 0) + (usage?.waiting ?? 0) < share;
  }

  #occupySlot(request: AdmissionRequest, now: Milliseconds): void {
    this.#running.set(request.key, { account: request.account, since: now });
    this.#adjustUsage(request.account, 1, 0);
  }

  #recordDequeue(waiting: QueuedRequest<AdmissionRequest>): void {
    this.#adjustUsage(waiting.request.account, 0, -1);
  }

  #updateUsage(request: AdmissionRequest): AccountUsage {
    const known = this.#usageByAccount.get(request.account);
    if (known !== undefined) {
      known.weight = request.weight;
      return known;
    }
    const created: AccountUsage = { weight: request.weight, running: 0, waiting: 0 };
    this.#usageByAccount.set(request.account, created);
    return created;
  }

  #adjustUsage(account: AccountName, running: number, waiting: number): void {
    const usage = this.#usageByAccount.get(account);
    if (usage === undefined) {
      return;
    }
    usage.running += running;
    usage.waiting += waiting;
    if (usage.running === 0 && usage.waiting === 0) {
      this.#usageByAccount.delete(account);
    }
  }
}
