import type { Milliseconds } from '../../common/index.js';
import type { AccountName, Load } from '../../model/index.js';
import type { AttemptKey } from './messages.js';
import { DrainRate } from './drain-rate.js';

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
  /** Memory bound: attempts in the queue, whatever the drain rate. */
  readonly maximumQueued: number;
}

/** Bounds that suit a first token within 0.7 s with a retry elsewhere. */
export const defaultAdmissionLimits: AdmissionLimits = { maximumWait: 400, maximumQueued: 2000 };

/** Urgency changes the share of an account by at most these factors, so that no priority starves another. */
const urgencyBase = 1.25;
const middlePriority = 5;

interface Waiting {
  readonly request: AdmissionRequest;
  readonly arrivedAt: Milliseconds;
  /** Virtual time at which the attempt starts in a perfectly fair upstream. */
  readonly startTag: number;
}

/**
 * Admission to one group's upstream: a bounded number of slots, a queue bounded by time, and weighted fairness.
 *
 * Fairness is start-time fair queueing: each account's attempts are spaced in virtual time by 1 / weight, and the
 * lowest tag goes first. An account that sends ten times its share therefore queues behind itself; a small account's
 * attempt enters near the head, however many gateways either of them uses.
 */
export class AdmissionController {
  readonly #limits: AdmissionLimits;
  readonly #drainRate = new DrainRate();
  readonly #running = new Map<AttemptKey, Milliseconds>();
  readonly #finishTags = new Map<AccountName, number>();
  #waiting: Waiting[] = [];
  #virtualTime = 0;
  #capacity = 1;

  constructor(limits: AdmissionLimits) {
    this.#limits = limits;
  }

  /** Load as told to gateways. */
  get load(): Load {
    return {
      running: this.#running.size,
      queued: this.#waiting.length,
      capacity: this.#capacity,
    };
  }

  /** Sets the number of slots; running attempts stay when it shrinks. */
  setCapacity(capacity: number): void {
    this.#capacity = Math.max(1, capacity);
  }

  /** Decides on an attempt that has just come. */
  request(request: AdmissionRequest, now: Milliseconds): AdmissionVerdict {
    const startTag = this.#tag(request);
    if (this.#hasFreeSlot() && this.#waiting.length === 0) {
      this.#take(request, startTag, now);
      return { type: 'start' };
    }
    const ahead = this.#countAhead(startTag);
    const wait = this.#drainRate.estimateWait(ahead + 1, this.#capacity);
    const bound = Math.min(this.#limits.maximumWait, request.remaining);
    if (wait > bound || this.#waiting.length >= this.#limits.maximumQueued) {
      return { type: 'refused', retryAfter: this.estimateRetryAfter() };
    }
    this.#insert({ request, arrivedAt: now, startTag });
    this.#advanceTags(request, startTag);
    return { type: 'queued' };
  }

  /** Frees the slot or the place in the queue; a finished attempt's time feeds the drain rate. */
  release(key: AttemptKey, now: Milliseconds, hasRun: boolean): void {
    const startedAt = this.#running.get(key);
    if (startedAt === undefined) {
      this.#waiting = this.#waiting.filter((waiting) => waiting.request.key !== key);
      return;
    }
    this.#running.delete(key);
    if (hasRun) {
      this.#drainRate.recordServiceTime(now - startedAt);
    }
  }

  /** Takes the next attempts of the queue into free slots. */
  startNext(now: Milliseconds): readonly AttemptKey[] {
    const started: AttemptKey[] = [];
    while (this.#hasFreeSlot()) {
      const next = this.#waiting.shift();
      if (next === undefined) {
        break;
      }
      this.#running.set(next.request.key, now);
      this.#virtualTime = Math.max(this.#virtualTime, next.startTag);
      started.push(next.request.key);
    }
    return started;
  }

  /** Takes out the attempts that have waited as long as they may. */
  expire(now: Milliseconds): readonly AttemptKey[] {
    const isExpired = (waiting: Waiting): boolean =>
      now - waiting.arrivedAt >= Math.min(this.#limits.maximumWait, waiting.request.remaining);
    const expired = this.#waiting.filter(isExpired);
    if (expired.length > 0) {
      this.#waiting = this.#waiting.filter((waiting) => !isExpired(waiting));
    }
    return expired.map((waiting) => waiting.request.key);
  }

  /** When a refused caller should come back: once the queue of now has drained. */
  estimateRetryAfter(): Milliseconds {
    return this.#drainRate.estimateWait(this.#waiting.length + 1, this.#capacity);
  }

  #hasFreeSlot(): boolean {
    return this.#running.size < this.#capacity;
  }

  #tag(request: AdmissionRequest): number {
    return Math.max(this.#virtualTime, this.#finishTags.get(request.account) ?? 0);
  }

  #take(request: AdmissionRequest, startTag: number, now: Milliseconds): void {
    this.#running.set(request.key, now);
    this.#virtualTime = Math.max(this.#virtualTime, startTag);
    this.#advanceTags(request, startTag);
  }

  #advanceTags(request: AdmissionRequest, startTag: number): void {
    this.#finishTags.set(request.account, startTag + 1 / shareOf(request));
    if (this.#running.size <= 1 && this.#waiting.length === 0) {
      this.#forgetPastTags();
    }
  }

  /** A tag in the past says nothing: without this, each account ever seen would stay in memory. */
  #forgetPastTags(): void {
    for (const [account, tag] of this.#finishTags) {
      if (tag <= this.#virtualTime) {
        this.#finishTags.delete(account);
      }
    }
  }

  #countAhead(startTag: number): number {
    return this.#findPlace(startTag);
  }

  #insert(waiting: Waiting): void {
    this.#waiting.splice(this.#findPlace(waiting.startTag), 0, waiting);
  }

  /** Index behind all waiting attempts with the same or a lower tag. */
  #findPlace(startTag: number): number {
    let low = 0;
    let high = this.#waiting.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const tag = this.#waiting[middle]?.startTag ?? Number.POSITIVE_INFINITY;
      if (tag <= startTag) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}

function shareOf(request: AdmissionRequest): number {
  const urgency = urgencyBase ** (middlePriority - request.priority);
  return Math.max(1, request.weight) * urgency;
}
