import type { Milliseconds } from '../common/index.js';

/** A request for a slot of one upstream. */
export interface FairRequest {
  readonly key: string;
  readonly account: string;
  /** At least 1. */
  readonly weight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** A request in the queue. */
export interface QueuedRequest<Request extends FairRequest> {
  readonly request: Request;
  /** When its maximum waiting time is over. */
  readonly expiresAt: Milliseconds;
}

/** The queued requests of one account. */
interface AccountQueue<Request extends FairRequest> {
  /** Virtual time at which the account's next request would start under ideal fair sharing. */
  startTag: number;
  /** Ordered by priority, then by arrival. */
  waiting: QueuedRequest<Request>[];
}

/** Priority changes the share of an account by at most a factor of three, so that no priority starves another. */
const priorityWeightBase = 1.25;
const neutralPriority = 5;
/**
 * Above this number of accounts, those without queued requests are removed if their start tag is behind the virtual
 * time and so no longer has an effect.
 */
const maximumTrackedAccounts = 256;

/**
 * Start-time fair queueing: the requests of an account are spaced in virtual time by 1 / weight, and the account with
 * the lowest start tag goes next. An account that sends ten times its share only delays its own requests; a request of
 * a small account enters near the head. This holds regardless of how many gateways either account uses.
 *
 * A start tag advances when a request starts, not when it arrives. With tags assigned on arrival, a request that
 * expired in the queue still used up its account's share: under overload, all requests of a low-priority account
 * expired, each pushing the next one further back, and the account was starved.
 */
export class FairQueue<Request extends FairRequest> {
  readonly #accounts = new Map<string, AccountQueue<Request>>();
  #length = 0;
  #virtualTime = 0;

  get length(): number {
    return this.#length;
  }

  /** Number of requests that would start before this one if no others arrived. */
  countAhead(request: Request): number {
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

  add(request: Request, expiresAt: Milliseconds): void {
    const queue = this.#getOrCreateQueue(request.account);
    queue.waiting.splice(findInsertionIndex(queue.waiting, request), 0, { request, expiresAt });
    this.#length += 1;
  }

  /** Charges a request that starts without queueing to its account. */
  recordImmediateStart(request: Request): void {
    this.#advanceStartTag(this.#getOrCreateQueue(request.account), request);
  }

  dequeue(): QueuedRequest<Request> | undefined {
    let next: AccountQueue<Request> | undefined;
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

  remove(key: string): QueuedRequest<Request> | undefined {
    for (const { waiting } of this.#accounts.values()) {
      const index = waiting.findIndex(({ request }) => request.key === key);
      if (index >= 0) {
        this.#length -= 1;
        return waiting.splice(index, 1)[0];
      }
    }
    return undefined;
  }

  removeExpired(now: Milliseconds): readonly QueuedRequest<Request>[] {
    const expired: QueuedRequest<Request>[] = [];
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

  #advanceStartTag(queue: AccountQueue<Request>, request: Request): void {
    this.#virtualTime = Math.max(this.#virtualTime, queue.startTag);
    queue.startTag += 1 / computeWeight(request);
  }

  #findStartTag(queue: AccountQueue<Request> | undefined): number {
    return Math.max(this.#virtualTime, queue?.startTag ?? 0);
  }

  /** Finds or creates the queue of an account. An account that was idle gets no credit for the elapsed virtual time. */
  #getOrCreateQueue(account: string): AccountQueue<Request> {
    const known = this.#accounts.get(account);
    if (known !== undefined) {
      if (known.waiting.length === 0) {
        known.startTag = this.#findStartTag(known);
      }
      return known;
    }
    const created: AccountQueue<Request> = { startTag: this.#virtualTime, waiting: [] };
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

/** Index after all requests of the same or a more urgent priority. */
function findInsertionIndex(
  waiting: readonly QueuedRequest<FairRequest>[],
  request: FairRequest,
): number {
  const index = waiting.findIndex((other) => other.request.priority > request.priority);
  return index < 0 ? waiting.length : index;
}

/** Number of requests in a queue that start no later than the given virtual time. */
function countStartingBy(queue: AccountQueue<FairRequest>, virtualTime: number): number {
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

function computeWeight(request: FairRequest): number {
  const priorityWeight = priorityWeightBase ** (neutralPriority - request.priority);
  return Math.max(1, request.weight) * priorityWeight;
}
