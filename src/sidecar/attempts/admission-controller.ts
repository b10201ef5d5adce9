import type { Milliseconds } from '../../common/index.js';
import type { AccountName, Load } from '../../model/index.js';
import { DrainRate } from './drain-rate.js';
import { FairQueue, type Waiting } from './fair-queue.js';
import type { AttemptKey } from './messages.js';

/** An attempt that wants a slot of the upstream. */
export interface AdmissionRequest {
  readonly key: AttemptKey;
  readonly account: AccountName;
  /** At least 1. */
  readonly weight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left for the request when it came. */
  readonly remaining: Milliseconds;
}

/** What admission says to an attempt that has just come. */
export type AdmissionVerdict =
  | { readonly type: 'start' }
  | { readonly type: 'queued' }
  | { readonly type: 'refused'; readonly retryAfter: Milliseconds };

/** Bounds of admission. */
export interface AdmissionLimits {
  /** An attempt that would wait longer is refused at once. */
  readonly maximumWait: Milliseconds;
  /** The same for an account that has less than its share of the slots. */
  readonly maximumWaitUnderShare: Milliseconds;
  /** Memory bound: attempts in the queue, whatever the drain rate. */
  readonly maximumQueued: number;
}

/** Half a second leaves room for a first token within 0.7 s. */
export const defaultAdmissionLimits: AdmissionLimits = {
  maximumWait: 500,
  maximumWaitUnderShare: 5000,
  maximumQueued: 2000,
};

interface Running {
  readonly account: AccountName;
  readonly since: Milliseconds;
}

interface AccountUse {
  weight: number;
  running: number;
  waiting: number;
}

/**
 * Admission to one group's upstream: a bounded number of slots, a queue bounded by time, and weighted fairness.
 *
 * An attempt is refused at once when the measured drain rate says that it would wait too long. An account that has less
 * than its share of the slots may wait longer: where answers take many seconds, the ordinary bound leaves no queue at
 * all, and whoever sends most would win every slot that comes free.
 */
export class AdmissionController {
  readonly #limits: AdmissionLimits;
  readonly #drainRate = new DrainRate();
  readonly #running = new Map<AttemptKey, Running>();
  readonly #uses = new Map<AccountName, AccountUse>();
  readonly #queue = new FairQueue();
  #capacity = 1;

  constructor(limits: AdmissionLimits) {
    this.#limits = limits;
  }

  /** Load as told to gateways. */
  get load(): Load {
    return { running: this.#running.size, queued: this.#queue.length, capacity: this.#capacity };
  }

  /** Sets the number of slots; running attempts stay when it shrinks. */
  setCapacity(capacity: number): void {
    this.#capacity = Math.max(1, capacity);
  }

  /** Decides on an attempt that has just come. */
  request(request: AdmissionRequest, now: Milliseconds): AdmissionVerdict {
    if (this.#hasFreeSlot() && this.#queue.length === 0) {
      this.#queue.pass(request);
      this.#noteUse(request);
      this.#take(request, now);
      return { type: 'start' };
    }
    const ahead = this.#queue.countAhead(request);
    const wait = this.#drainRate.estimateWait(ahead + 1, this.#capacity);
    const bound = this.#findBound(request);
    if (wait > bound || this.#queue.length >= this.#limits.maximumQueued) {
      return { type: 'refused', retryAfter: this.estimateRetryAfter() };
    }
    this.#noteUse(request).waiting += 1;
    this.#queue.add(request, now + bound);
    return { type: 'queued' };
  }

  /** Frees the slot or the place in the queue; a finished attempt's time feeds the drain rate. */
  release(key: AttemptKey, now: Milliseconds, hasRun: boolean): void {
    const running = this.#running.get(key);
    if (running === undefined) {
      const waiting = this.#queue.remove(key);
      if (waiting !== undefined) {
        this.#leaveQueue(waiting);
      }
      return;
    }
    this.#running.delete(key);
    this.#changeUse(running.account, -1, 0);
    if (hasRun) {
      this.#drainRate.recordServiceTime(now - running.since);
    }
  }

  /** Takes the next attempts of the queue into free slots. */
  startNext(now: Milliseconds): readonly AttemptKey[] {
    const started: AttemptKey[] = [];
    while (this.#hasFreeSlot()) {
      const next = this.#queue.takeNext();
      if (next === undefined) {
        break;
      }
      this.#take(next.request, now);
      this.#leaveQueue(next);
      started.push(next.request.key);
    }
    return started;
  }

  /** Takes out the attempts that have waited as long as they may. */
  expire(now: Milliseconds): readonly AttemptKey[] {
    const expired = this.#queue.removeExpired(now);
    for (const waiting of expired) {
      this.#leaveQueue(waiting);
    }
    return expired.map((waiting) => waiting.request.key);
  }

  /** When a refused caller should come back: once the queue of now has drained. */
  estimateRetryAfter(): Milliseconds {
    return this.#drainRate.estimateWait(this.#queue.length + 1, this.#capacity);
  }

  #hasFreeSlot(): boolean {
    return this.#running.size < this.#capacity;
  }

  #findBound(request: AdmissionRequest): Milliseconds {
    const { maximumWait, maximumWaitUnderShare } = this.#limits;
    const bound = this.#isUnderShare(request) ? maximumWaitUnderShare : maximumWait;
    return Math.min(bound, request.remaining);
  }

  /** Whether the account holds and waits for less than its share of the slots, with this attempt counted in. */
  #isUnderShare(request: AdmissionRequest): boolean {
    const use = this.#uses.get(request.account);
    let weights = use === undefined ? request.weight : 0;
    for (const { weight } of this.#uses.values()) {
      weights += weight;
    }
    const share = Math.max(1, (this.#capacity * request.weight) / weights);
    return (use?.running ?? 0) + (use?.waiting ?? 0) < share;
  }

  #take(request: AdmissionRequest, now: Milliseconds): void {
    this.#running.set(request.key, { account: request.account, since: now });
    this.#changeUse(request.account, 1, 0);
  }

  #leaveQueue(waiting: Waiting): void {
    this.#changeUse(waiting.request.account, 0, -1);
  }

  #noteUse(request: AdmissionRequest): AccountUse {
    const known = this.#uses.get(request.account);
    if (known !== undefined) {
      known.weight = request.weight;
      return known;
    }
    const created: AccountUse = { weight: request.weight, running: 0, waiting: 0 };
    this.#uses.set(request.account, created);
    return created;
  }

  #changeUse(account: AccountName, running: number, waiting: number): void {
    const use = this.#uses.get(account);
    if (use === undefined) {
      return;
    }
    use.running += running;
    use.waiting += waiting;
    if (use.running === 0 && use.waiting === 0) {
      this.#uses.delete(account);
    }
  }
}
