import type { Milliseconds } from '../../common/index.js';
import type { AccountName } from '../../model/index.js';
import type { AdmissionRequest } from './admission-controller.js';
import type { AttemptKey } from './messages.js';

/** An attempt in the queue. */
export interface QueuedAttempt {
  readonly request: AdmissionRequest;
  /** When its maximum waiting time is over. */
  readonly expiresAt: Milliseconds;
}

/** The queued attempts of one account. */
interface AccountQueue {
  /** Virtual time at which the account's next attempt would start under ideal fair sharing. */
  startTag: number;
  /** Ordered by priority, then by arrival. */
  waiting: QueuedAttempt[];
}

/** Priority changes the share of an account by at most a factor of three, so that no priority starves another. */
const priorityWeightBase = 1.25;
const neutralPriority = 5;
/**
 * Above this number of accounts, those without queued attempts are removed if their start tag is behind the virtual
 * time and so no longer has an effect.
 */
const maximumTrackedAccounts = 256;

/**
 * Start-time fair queueing: the attempts of an account are spaced in virtual time by 1 / weight, and the account with
 * the lowest start tag goes next. An account that sends ten times its share only delays its own attempts; an attempt of
 * a small account enters near the head. This holds regardless of how many gateways either account uses.
 *
 * A start tag advances when an attempt starts, not when it arrives. With tags assigned on arrival, an attempt that
 * expired in the queue still used up its account's share: under overload, all attempts of a low-priority account
 * expired, each pushing the next one further back, and the account was starved.
 */
export class FairQueue {
  readonly #accounts = new Map<AccountName, AccountQueue>();
  #length = 0;
  #virtualTime = 0;

  get length(): number {
    return this.#length;
  }

  /** Number of attempts that would start before this one if no others arrived. */
  countAhead(request: AdmissionRequest): number {
    const own = this.#accounts.get(request.account);
    const before = own === undefined ? 0 : findInsertionIndex(own.waiting, request);
    const tag = this.#findStartTag(own) + before / computeWeight(request);
    let ahead = before;
    for (const queue of this.#accounts.values()) {
      if (queue !== own) {
        ahead += countStartingBy(queue, tag);
      }
    }
    return ahead;
  }

  add(request: AdmissionRequest, expiresAt: Milliseconds): void {
    const queue = this.#getOrCreateQueue(request.account);
    queue.waiting.splice(findInsertionIndex(queue.waiting, request), 0, { request, expiresAt });
    this.#length += 1;
  }

  /** Charges an attempt that starts without queueing to its account. */
  recordImmediateStart(request: AdmissionRequest): void {
    this.#advanceStartTag(this.#getOrCreateQueue(request.account), request);
  }

  dequeue(): QueuedAttempt | undefined {
    let next: AccountQueue | undefined;
    for (const queue of this.#accounts.values()) {
      if (queue.waiting.length > 0 && (next === undefined || queue.startTag < next.startTag)) {
        next = queue;
      }
    }
    const taken = next?.waiting.shift();
    if (next !== undefined && taken !== undefined) {
      this.#length -= 1;
      this.#advanceStartTag(next, taken.request);
    }
    return taken;
  }

  remove(key: AttemptKey): QueuedAttempt | undefined {
    for (const { waiting } of this.#accounts.values()) {
      const index = waiting.findIndex(({ request }) => request.key === key);
      if (index >= 0) {
        this.#length -= 1;
        return waiting.splice(index, 1)[0];
      }
    }
    return undefined;
  }

  removeExpired(now: Milliseconds): readonly QueuedAttempt[] {
    const expired: QueuedAttempt[] = [];
    for (const queue of this.#accounts.values()) {
      const kept = queue.waiting.filter((waiting) => now < waiting.expiresAt);
      if (kept.length < queue.waiting.length) {
        expired.push(...queue.waiting.filter((waiting) => now >= waiting.expiresAt));
        queue.waiting = kept;
      }
    }
    this.#length -= expired.length;
    return expired;
  }

  #advanceStartTag(queue: AccountQueue, request: AdmissionRequest): void {
    this.#virtualTime = Math.max(this.#virtualTime, queue.startTag);
    queue.startTag += 1 / computeWeight(request);
  }

  #findStartTag(queue: AccountQueue | undefined): number {
    return Math.max(this.#virtualTime, queue?.startTag ?? 0);
  }

  /** Finds or creates the queue of an account. An account that was idle gets no credit for the elapsed virtual time. */
  #getOrCreateQueue(account: AccountName): AccountQueue {
    const known = this.#accounts.get(account);
    if (known !== undefined) {
      if (known.waiting.length === 0) {
        known.startTag = this.#findStartTag(known);
      }
      return known;
    }
    const created: AccountQueue = { startTag: this.#virtualTime, waiting: [] };
    this.#accounts.set(account, created);
    if (this.#accounts.size > maximumTrackedAccounts) {
      this.#removeIdleAccounts();
    }
    return created;
  }

  #removeIdleAccounts(): void {
    for (const [account, queue] of this.#accounts) {
      if (queue.waiting.length === 0 && queue.startTag < this.#virtualTime) {
        this.#accounts.delete(account);
      }
    }
  }
}

/** Index after all attempts of the same or a more urgent priority. */
function findInsertionIndex(waiting: readonly QueuedAttempt[], request: AdmissionRequest): number {
  const index = waiting.findIndex((other) => other.request.priority > request.priority);
  return index < 0 ? waiting.length : index;
}

/** Number of attempts in a queue that start no later than the given virtual time. */
function countStartingBy(queue: AccountQueue, virtualTime: number): number {
  let count = 0;
  let next = queue.startTag;
  for (const { request } of queue.waiting) {
    if (next > virtualTime) {
      break;
    }
    count += 1;
    next += 1 / computeWeight(request);
  }
  return count;
}

function computeWeight(request: AdmissionRequest): number {
  const priorityWeight = priorityWeightBase ** (neutralPriority - request.priority);
  return Math.max(1, request.weight) * priorityWeight;
}
