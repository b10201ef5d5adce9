import type { Milliseconds } from '../../common/index.js';
import {
  AccountWork,
  ReturnSchedule,
  StartTimes,
  UrgencyQueue,
  type DropReason,
  type DroppedEntry,
  type QueueEntry,
  type Target,
  type TargetChoice,
} from '../../dispatch/index.js';
import { chooseRetryAfter } from './retry-after.js';

/** The requests of a gateway that wait for a slot, in one queue for each service and model; performs no I/O. */

/** Largest share of an objective that upstreams are expected to use up; with more, every request would count as late. */
const maximumStartShare = 0.5;

/**
 * Refused callers return over this last share of the usual delay. Later ones would not return: callers do not wait for more than a third of
 * their time.
 */
const returnSpread = 1 / 3;

/** Why a request gets no slot, and when the caller should retry. */
export interface SlotRefusal extends Omit<DroppedEntry<QueueEntry>, 'entry'> {
  readonly retryAfter: Milliseconds;
}

/** A request in a queue. */
export interface WaitingRequest extends QueueEntry {
  /** Requests with equal values need slots of the same upstreams. */
  readonly queue: string;
  /** Requests with equal values are expected to start in about the same time. */
  readonly kind: string;
  readonly deadline: Milliseconds;
  /** False if the request is queued again after an attempt that did not run. */
  readonly isFirst: boolean;
  readonly choose: (now: Milliseconds) => TargetChoice;
  /** Called with the upstream that has a slot for it; it is no longer queued. */
  readonly onGranted: (target: Target) => void;
  readonly onRefused: (refusal: SlotRefusal) => void;
  /** Called when there are no upstreams any more, or all have asked for pauses. */
  readonly onNoUpstream: () => void;
}

/** Notified of what happens in the queues, for metrics. */
export interface QueueObserver {
  readonly noteQueued: (route: string) => void;
  readonly noteUnqueued: (route: string) => void;
  /** `wait`: time in the gateway until the request got a slot. */
  readonly noteSlot: (priority: number, wait: Milliseconds) => void;
  readonly noteSlotRefused: (route: string, reason: DropReason) => void;
}

interface ServiceQueue {
  readonly queue: UrgencyQueue<WaitingRequest>;
  readonly entries: Map<string, WaitingRequest>;
  readonly returns: ReturnSchedule;
}

/** Result of asking for a slot. */
interface FoundSlot {
  target: Target | undefined;
  hasUpstreams: boolean;
}

export class WaitingRequests {
  readonly #observer: QueueObserver;
  readonly #queues = new Map<string, ServiceQueue>();
  readonly #startTimes = new StartTimes();
  /** Shared with the reporter that exchanges it with control. */
  readonly accountWork = new AccountWork();
  #identifiers = 0;
  /** Whether slots are being given out, or requests collected before that. */
  #isBusy = false;
  #isDispatchDue = false;

  constructor(observer: QueueObserver) {
    this.#observer = observer;
  }

  createIdentifier(): string {
    this.#identifiers += 1;
    return String(this.#identifiers);
  }

  /** Whether a new request has none to queue behind. */
  isEmpty(queue: string): boolean {
    return !this.#isBusy && (this.#queues.get(queue)?.entries.size ?? 0) === 0;
  }

  /** Records a request for which there is a slot, and none that waits before it. */
  pass(entry: WaitingRequest, now: Milliseconds): void {
    this.#noteWork(entry);
    const { queue } = this.#find(entry.queue);
    queue.offer(entry, now);
    queue.next(now, () => true);
    this.#observer.noteSlot(entry.priority, now - entry.arrivedAt);
  }

  /** The caller calls `dispatch` afterwards. */
  offer(entry: WaitingRequest, now: Milliseconds): void {
    this.#noteWork(entry);
    const { queue, entries } = this.#find(entry.queue);
    entries.set(entry.id, entry);
    this.#observer.noteQueued(entry.route);
    queue.offer(entry, now);
  }

  withdraw(entry: WaitingRequest): void {
    const service = this.#find(entry.queue);
    service.queue.withdraw(entry.id);
    this.#forget(service, entry);
  }

  /** Runs an action that may offer many requests, and then gives out slots in the order of all of them. */
  collect(action: () => void, now: Milliseconds): void {
    if (this.#isBusy) {
      action();
      this.#isDispatchDue = true;
      return;
    }
    this.#isBusy = true;
    try {
      action();
    } finally {
      this.#isBusy = false;
    }
    this.dispatch(now);
  }

  /** Gives out the slots that are free, and refuses requests that are not expected to get one in time. */
  dispatch(now: Milliseconds): void {
    this.#isDispatchDue = true;
    if (this.#isBusy) {
      return;
    }
    this.#isBusy = true;
    try {
      while (this.#isDispatchDue) {
        this.#isDispatchDue = false;
        for (const queue of this.#queues.values()) {
          this.#dispatchQueue(queue, now);
        }
      }
    } finally {
      this.#isBusy = false;
    }
  }

  /** Records the time from sending a request to the first byte of its response. */
  noteStarted(kind: string, time: Milliseconds): void {
    this.#startTimes.note(kind, time);
  }

  /** Counts each request once. */
  #noteWork({ account, work, isFirst }: WaitingRequest): void {
    if (isFirst) {
      this.accountWork.note(account, work);
    }
  }

  #dispatchQueue(service: ServiceQueue, now: Milliseconds): void {
    const { queue, entries } = service;
    const found: FoundSlot = { target: undefined, hasUpstreams: true };
    const isServable = (entry: WaitingRequest): boolean => {
      const choice = entry.choose(now);
      found.target = choice.type === 'target' ? choice.target : undefined;
      found.hasUpstreams &&= choice.type === 'target' || choice.type === 'full';
      return choice.type === 'target';
    };
    for (
      let entry = queue.next(now, isServable);
      entry !== undefined;
      entry = queue.next(now, isServable)
    ) {
      this.#forget(service, entry);
      this.#observer.noteSlot(entry.priority, now - entry.arrivedAt);
      if (found.target !== undefined) {
        entry.onGranted(found.target);
      }
    }
    if (!found.hasUpstreams) {
      for (const entry of [...entries.values()]) {
        entry.onNoUpstream();
      }
    }
    for (const dropped of queue.expire(now)) {
      this.#forget(service, dropped.entry);
      this.#observer.noteSlotRefused(dropped.entry.route, dropped.reason);
      this.#refuse(service, dropped, now);
    }
  }

  #forget({ entries }: ServiceQueue, { id, route }: WaitingRequest): void {
    if (entries.delete(id)) {
      this.#observer.noteUnqueued(route);
    }
  }

  #refuse(
    { returns }: ServiceQueue,
    { entry, ...reasons }: DroppedEntry<WaitingRequest>,
    now: Milliseconds,
  ): void {
    const latest = chooseRetryAfter(entry.deadline - now);
    const spread = latest * returnSpread;
    const returnAt = returns.book(now + latest - spread, spread, reasons.slotInterval);
    entry.onRefused({ ...reasons, retryAfter: Math.round(returnAt - now) });
  }

  #find(name: string): ServiceQueue {
    const known = this.#queues.get(name);
    if (known !== undefined) {
      return known;
    }
    const queue = new UrgencyQueue<WaitingRequest>({
      expectedStart: (entry) => this.#estimateStart(entry),
      weightOf: (account, at) => this.accountWork.readShare(account, at),
    });
    const created = { queue, entries: new Map(), returns: new ReturnSchedule() };
    this.#queues.set(name, created);
    return created;
  }

  #estimateStart({ kind, arrivedAt, objectiveAt }: WaitingRequest): Milliseconds {
    const longest = ((objectiveAt ?? Infinity) - arrivedAt) * maximumStartShare;
    return Math.min(this.#startTimes.read(kind), longest);
  }
}
