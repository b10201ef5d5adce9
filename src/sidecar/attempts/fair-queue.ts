import type { Milliseconds } from '../../common/index.js';
import type { AccountName } from '../../model/index.js';
import type { AdmissionRequest } from './admission-controller.js';
import type { AttemptKey } from './messages.js';

/** An attempt in the queue. */
export interface Waiting {
  readonly request: AdmissionRequest;
  /** When it has waited as long as it may. */
  readonly expiresAt: Milliseconds;
  /** Virtual time at which it would start in a perfectly fair upstream. */
  readonly startTag: number;
}

/** Urgency changes the share of an account by at most a factor of three, so that no priority starves another. */
const urgencyBase = 1.25;
const middlePriority = 5;
/** Accounts with a tag in the past are forgotten beyond this number. */
const maximumTags = 256;

/**
 * Start-time fair queueing: the attempts of an account are spaced in virtual time by 1 / weight, and the lowest tag goes
 * first. An account that sends ten times its share queues behind itself; a small account's attempt enters near the head,
 * however many gateways either of them uses.
 */
export class FairQueue {
  readonly #finishTags = new Map<AccountName, number>();
  /** In the order in which they start. */
  #waiting: Waiting[] = [];
  #virtualTime = 0;

  get length(): number {
    return this.#waiting.length;
  }

  /** How many attempts would start before this one. */
  countAhead(request: AdmissionRequest): number {
    return this.#findPlace(this.#findTag(request));
  }

  add(request: AdmissionRequest, expiresAt: Milliseconds): void {
    const startTag = this.#findTag(request);
    this.#waiting.splice(this.#findPlace(startTag), 0, { request, expiresAt, startTag });
    this.#advanceTag(request, startTag);
  }

  /** An attempt starts without waiting: it counts against its account all the same. */
  pass(request: AdmissionRequest): void {
    const startTag = this.#findTag(request);
    this.#virtualTime = Math.max(this.#virtualTime, startTag);
    this.#advanceTag(request, startTag);
  }

  takeNext(): Waiting | undefined {
    const next = this.#waiting.shift();
    if (next !== undefined) {
      this.#virtualTime = Math.max(this.#virtualTime, next.startTag);
    }
    return next;
  }

  remove(key: AttemptKey): Waiting | undefined {
    const index = this.#waiting.findIndex((waiting) => waiting.request.key === key);
    return index < 0 ? undefined : this.#waiting.splice(index, 1)[0];
  }

  removeExpired(now: Milliseconds): readonly Waiting[] {
    const expired = this.#waiting.filter((waiting) => now >= waiting.expiresAt);
    if (expired.length > 0) {
      this.#waiting = this.#waiting.filter((waiting) => now < waiting.expiresAt);
    }
    return expired;
  }

  #findTag(request: AdmissionRequest): number {
    return Math.max(this.#virtualTime, this.#finishTags.get(request.account) ?? 0);
  }

  #advanceTag(request: AdmissionRequest, startTag: number): void {
    this.#finishTags.set(request.account, startTag + 1 / findShare(request));
    if (this.#finishTags.size > maximumTags) {
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

function findShare(request: AdmissionRequest): number {
  const urgency = urgencyBase ** (middlePriority - request.priority);
  return Math.max(1, request.weight) * urgency;
}
