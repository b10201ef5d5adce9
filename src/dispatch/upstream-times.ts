import { LRUCache } from 'lru-cache';

import type { Milliseconds } from '../common/index.js';
import {
  FirstEventTimes,
  groupResponsiveness,
  instanceResponsiveness,
} from './first-event-times.js';
import type { Target } from './target-list.js';
import type { TargetLoads } from './target-loads.js';
import { UpstreamFailures } from './upstream-failures.js';

/** Follows the requests of one gateway at upstreams and learns how long these take to the first event; performs no I/O. */

/** A request whose time at its upstream is to be learned or estimated. */
export interface TimedRequest {
  /** Upstreams of one kind take about equally long: those of one service and model. */
  readonly kind: string;
  /** Tokens to read; 0 if unknown. */
  readonly tokens: number;
}

/** Part of the time to the first event that is spent on the way there and back. */
export interface Journey {
  readonly roundTrip: Milliseconds;
}

/** Told what is learned, for logs and metrics. */
export interface UpstreamTimesObserver {
  readonly noteFirstEvent: (target: Target, time: Milliseconds) => void;
  /** An upstream has become much slower than others of its kind, or has ceased to be. */
  readonly noteSlow: (target: Target, isSlow: boolean, factor: number) => void;
}

/** A request at an upstream. */
export interface Dispatch {
  /** The first bytes of the response have arrived; repeated calls have no effect. */
  readonly noteFirstEvent: (now: Milliseconds) => void;
  /** The upstream failed the request. */
  readonly noteFailed: (now: Milliseconds) => void;
  /** The response is complete. */
  readonly noteComplete: (now: Milliseconds) => void;
  /** The attempt is over or its response is an error, of which nothing is to be learned. Later calls have no effect. */
  readonly release: () => void;
}

/** A request whose first event has not arrived yet. */
interface PendingRequest {
  readonly tokens: number;
  readonly sentAt: Milliseconds;
}

/** Factors from which on an upstream counts as slow, and below which it ceases to; they differ so that few lines are logged. */
const slowFactor = 3;
const usualFactor = 1.5;
const maximumSlowUpstreams = 10_000;

export class UpstreamTimes {
  readonly #loads: TargetLoads;
  readonly #times = new Map<string, FirstEventTimes>();
  readonly #failures = new UpstreamFailures();
  readonly #observer: UpstreamTimesObserver | undefined;
  readonly #slow = new LRUCache<string, true>({ max: maximumSlowUpstreams });
  readonly #pending = new Map<string, Set<PendingRequest>>();

  constructor(loads: TargetLoads, observer?: UpstreamTimesObserver) {
    this.#loads = loads;
    this.#observer = observer;
  }

  /** Called after `TargetLoads.noteSent`, so that the load includes the request. */
  noteSent(
    target: Target,
    { kind, tokens, roundTrip }: TimedRequest & Journey,
    sentAt: Milliseconds,
  ): Dispatch {
    const { key } = target;
    const times = this.#find(kind, target);
    const { own, others, slots } = this.#loads.read(target);
    const sent = { requests: own + others, slots, tokens: this.#countPendingTokens(key) + tokens };
    const request = { tokens, sentAt };
    const pending = this.#pending.get(key) ?? new Set();
    this.#pending.set(key, pending.add(request));
    let isReleased = false;
    let hasBegun = false;
    const removePending = (): void => {
      pending.delete(request);
      if (pending.size === 0 && this.#pending.get(key) === pending) {
        this.#pending.delete(key);
      }
    };
    return {
      noteFirstEvent: (now) => {
        if (!hasBegun && !isReleased) {
          hasBegun = true;
          removePending();
          // The load that the response reports includes requests of other gateways that were unknown when this one was sent.
          const known = this.#loads.read(target);
          const requests = Math.max(sent.requests, known.own + known.others);
          const time = Math.max(0, now - sentAt - roundTrip);
          times.noteFirstEvent(key, { ...sent, requests }, time, now);
          this.#failures.note(key, false, now);
          this.#observer?.noteFirstEvent(target, now - sentAt);
          this.#observeFactor(target, times.readFactor(key, now));
        }
      },
      noteFailed: (now) => {
        if (!isReleased) {
          this.#failures.note(key, true, now);
        }
      },
      noteComplete: (now) => {
        if (!isReleased) {
          times.noteDuration(now - sentAt);
        }
      },
      release: () => {
        isReleased = true;
        removePending();
      },
    };
  }

  /** Expected time to the first event of one more request; undefined if too little has been learned. */
  expect(
    target: Target,
    { kind, tokens }: TimedRequest,
    now: Milliseconds,
  ): Milliseconds | undefined {
    const { own, others, slots } = this.#loads.read(target);
    const { key } = target;
    const load = {
      requests: own + others + 1,
      slots,
      tokens: this.#countPendingTokens(key) + tokens,
    };
    return this.#find(kind, target).expect(key, load, now);
  }

  /** Largest number of requests at the target with which this one is expected to begin within `budget`; undefined if unknown. */
  findBound(
    target: Target,
    { kind, tokens }: TimedRequest,
    budget: Milliseconds,
    now: Milliseconds,
  ): number | undefined {
    const { slots } = this.#loads.read(target);
    const { key } = target;
    const load = { slots, tokens: this.#countPendingTokens(key) + tokens };
    return this.#find(kind, target).findBound(key, load, budget, now);
  }

  /** Time since when the oldest request of this gateway at the target has waited for its first event; 0 if there is none. */
  findLongestWait({ key }: Target, now: Milliseconds): Milliseconds {
    const waits = [...(this.#pending.get(key) ?? [])].map(({ sentAt }) => now - sentAt);
    return Math.max(0, ...waits);
  }

  /** Share of the recent requests to the target that it failed. */
  findFailureShare({ key }: Target, now: Milliseconds): number {
    return this.#failures.findShare(key, now);
  }

  #observeFactor(target: Target, factor: number): void {
    const isKnown = this.#slow.has(target.key);
    if (!isKnown && factor >= slowFactor) {
      this.#slow.set(target.key, true);
      this.#observer?.noteSlow(target, true, factor);
    } else if (isKnown && factor <= usualFactor) {
      this.#slow.delete(target.key);
      this.#observer?.noteSlow(target, false, factor);
    }
  }

  #countPendingTokens(key: string): number {
    return [...(this.#pending.get(key) ?? [])].reduce((sum, { tokens }) => sum + tokens, 0);
  }

  #find(kind: string, { isGroup }: Target): FirstEventTimes {
    const known = this.#times.get(kind);
    if (known !== undefined) {
      return known;
    }
    const times = new FirstEventTimes(isGroup ? groupResponsiveness : instanceResponsiveness);
    this.#times.set(kind, times);
    return times;
  }
}
