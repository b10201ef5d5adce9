import type { Milliseconds } from '../../common/index.js';
import type { AccountName } from '../../model/index.js';
import type { AdmissionRequest } from './admission-controller.js';
import type { AttemptKey } from './messages.js';

/** An attempt in the queue. */
export interface Waiting {
  readonly request: AdmissionRequest;
  /** When it has waited as long as it may. */
  readonly expiresAt: Milliseconds;
}

/** What one account waits for. */
interface AccountQueue {
  /** Virtual time at which its next attempt would start in a perfectly fair upstream. */
  tag: number;
  /** By priority, then as they came. */
  waiting: Waiting[];
}

/** Urgency changes the share of an account by at most a factor of three, so that no priority starves another. */
const urgencyBase = 1.25;
const middlePriority = 5;
/** Accounts without waiting attempts are forgotten beyond this number, where their tag says nothing any more. */
const maximumAccounts = 256;

/**
 * Start-time fair queueing: the attempts of an account are spaced in virtual time by 1 / weight, and the account with the
 * lowest tag goes next. An account that sends ten times its share queues behind itself; a small account's attempt enters
 * near the head, however many gateways either of them uses.
 *
 * A tag moves on when an attempt starts, not when it comes. With tags given out on arrival, an attempt that waited in
 * vain had used up its account's share: under overload the attempts of a patient account all expired, each pushing the
 * next one further back, and the account got nothing.
 */
export class FairQueue {
  readonly #accounts = new Map<AccountName, AccountQueue>();
  #length = 0;
  #virtualTime = 0;

  get length(): number {
    return this.#length;
  }

  /** How many attempts would start before this one if nothing else came. */
  countAhead(request: AdmissionRequest): number {
    const own = this.#accounts.get(request.account);
    const before = own === undefined ? 0 : findPlace(own.waiting, request);
    const tag = this.#findTag(own) + before / findShare(request);
    let ahead = before;
    for (const queue of this.#accounts.values()) {
      if (queue !== own) {
        ahead += countUpTo(queue, tag);
      }
    }
    return ahead;
  }

  add(request: AdmissionRequest, expiresAt: Milliseconds): void {
    const queue = this.#findQueue(request.account);
    queue.waiting.splice(findPlace(queue.waiting, request), 0, { request, expiresAt });
    this.#length += 1;
  }

  /** An attempt starts without waiting: it counts against its account all the same. */
  pass(request: AdmissionRequest): void {
    this.#start(this.#findQueue(request.account), request);
  }

  takeNext(): Waiting | undefined {
    let next: AccountQueue | undefined;
    for (const queue of this.#accounts.values()) {
      if (queue.waiting.length > 0 && (next === undefined || queue.tag < next.tag)) {
        next = queue;
      }
    }
    const taken = next?.waiting.shift();
    if (next !== undefined && taken !== undefined) {
      this.#length -= 1;
      this.#start(next, taken.request);
    }
    return taken;
  }

  remove(key: AttemptKey): Waiting | undefined {
    for (const { waiting } of this.#accounts.values()) {
      const index = waiting.findIndex(({ request }) => request.key === key);
      if (index >= 0) {
        this.#length -= 1;
        return waiting.splice(index, 1)[0];
      }
    }
    return undefined;
  }

  removeExpired(now: Milliseconds): readonly Waiting[] {
    const expired: Waiting[] = [];
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

  #start(queue: AccountQueue, request: AdmissionRequest): void {
    this.#virtualTime = Math.max(this.#virtualTime, queue.tag);
    queue.tag += 1 / findShare(request);
  }

  #findTag(queue: AccountQueue | undefined): number {
    return Math.max(this.#virtualTime, queue?.tag ?? 0);
  }

  /** The queue of an account; one that was idle has no claim to the time that has passed. */
  #findQueue(account: AccountName): AccountQueue {
    const known = this.#accounts.get(account);
    if (known !== undefined) {
      if (known.waiting.length === 0) {
        known.tag = this.#findTag(known);
      }
      return known;
    }
    const created: AccountQueue = { tag: this.#virtualTime, waiting: [] };
    this.#accounts.set(account, created);
    if (this.#accounts.size > maximumAccounts) {
      this.#forgetIdle();
    }
    return created;
  }

  #forgetIdle(): void {
    for (const [account, queue] of this.#accounts) {
      if (queue.waiting.length === 0 && queue.tag < this.#virtualTime) {
        this.#accounts.delete(account);
      }
    }
  }
}

/** Index behind all that are at least as urgent. */
function findPlace(waiting: readonly Waiting[], request: AdmissionRequest): number {
  const index = waiting.findIndex((other) => other.request.priority > request.priority);
  return index < 0 ? waiting.length : index;
}

/** How many attempts of a queue start no later than a virtual time. */
function countUpTo(queue: AccountQueue, tag: number): number {
  let count = 0;
  let next = queue.tag;
  for (const { request } of queue.waiting) {
    if (next > tag) {
      break;
    }
    count += 1;
    next += 1 / findShare(request);
  }
  return count;
}

function findShare(request: AdmissionRequest): number {
  const urgency = urgencyBase ** (middlePriority - request.priority);
  return Math.max(1, request.weight) * urgency;
}
