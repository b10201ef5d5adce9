import { LRUCache } from 'lru-cache';

import type { Milliseconds } from '../../common/index.js';

/** Tracks crashes, complete responses and quarantined requests on one gateway; performs no I/O. */

/** Capacity of each LRU cache. */
const maximumTrackedRequests = 4000;
/** Crashed upstreams with a pending report; the oldest are dropped while control cannot be reached for long. */
const maximumPendingCrashes = 500;
/** Time for which a complete response keeps a request from being suspected or rejected. */
const answerLifetime: Milliseconds = 60_000;
/**
 * Delay between receiving a quarantine and enforcing it. It allows gateways with a recent complete response to report it first; without the
 * delay, a frequent request would be rejected after a rack failure that ends several upstreams at once.
 */
const quarantineDelay: Milliseconds = 400;

/** Crashes and complete responses that have not been reported to control yet. */
export interface PendingCrashes {
  readonly crashes: readonly UpstreamCrash[];
  /** Digests of requests that an upstream has answered completely. */
  readonly answered: readonly string[];
}

export interface UpstreamCrash {
  /** Identity of the instance that crashed. */
  readonly upstream: string;
  /** Digests of the requests that were in flight on it. */
  readonly requests: readonly string[];
}

/**
 * What is known of a request. `quarantined`: it crashed several upstreams. `unrecorded`: an upstream crashed while it ran, and control has not
 * recorded that yet. Sent again now, a request that crashes upstreams would crash another one before any gateway knows of this one, and a
 * gateway that is cut off from control would go on without end.
 */
export type CrashAssessment = 'harmless' | 'unrecorded' | 'quarantined';

export class CrashLedger {
  readonly #answeredAt = new LRUCache<string, Milliseconds>({ max: maximumTrackedRequests });
  /** Requests that this gateway had in flight on an upstream that crashed. */
  readonly #suspects = new LRUCache<string, true>({ max: maximumTrackedRequests });
  /** Time at which this gateway received each quarantine, by request. */
  #quarantinedAt: ReadonlyMap<string, Milliseconds> = new Map();
  /** Requests that were in flight at a crash that control has not recorded yet. */
  readonly #unrecorded = new LRUCache<string, true>({ max: maximumTrackedRequests });
  #pendingCrashes = new Map<string, Set<string>>();
  #pendingAnswered = new Set<string>();

  /** Records a crash for the requests that were in flight, except those with a recent complete response. */
  noteCrash(upstream: string, requests: Iterable<string>, now: Milliseconds): void {
    const suspected = [...requests].filter((request) => !this.#isAnswered(request, now));
    if (suspected.length === 0) {
      return;
    }
    for (const request of suspected) {
      this.#suspects.set(request, true);
      this.#unrecorded.set(request, true);
    }
    const known = this.#pendingCrashes.get(upstream) ?? [];
    this.#pendingCrashes.set(upstream, new Set([...known, ...suspected]));
    this.#limitPending();
  }

  /** Records a complete response, which shows that the request does not crash every upstream that runs it. */
  noteAnswered(request: string, now: Milliseconds): void {
    this.#answeredAt.set(request, now);
    this.#unrecorded.delete(request);
    if (this.#suspects.delete(request) || this.#quarantinedAt.has(request)) {
      this.#pendingAnswered.add(request);
    }
  }

  /** Replaces the set of quarantined requests and queues a report for those with a recent complete response. */
  setQuarantined(quarantined: ReadonlySet<string>, now: Milliseconds): void {
    const known = this.#quarantinedAt;
    this.#quarantinedAt = new Map(
      [...quarantined].map((request) => [request, known.get(request) ?? now]),
    );
    for (const request of quarantined) {
      if (!known.has(request) && this.#isAnswered(request, now)) {
        this.#pendingAnswered.add(request);
      }
    }
  }

  /** Lets callers skip computing a digest while no request is suspected. */
  get hasSuspicions(): boolean {
    return this.#quarantinedAt.size > 0 || this.#unrecorded.size > 0;
  }

  /** Whether a request may be sent to an upstream. */
  assess(request: string, now: Milliseconds): CrashAssessment {
    if (this.#isAnswered(request, now)) {
      return 'harmless';
    }
    const receivedAt = this.#quarantinedAt.get(request);
    if (receivedAt !== undefined && now - receivedAt >= quarantineDelay) {
      return 'quarantined';
    }
    return this.#unrecorded.has(request) ? 'unrecorded' : 'harmless';
  }

  /** Removes and returns everything to be reported; undefined if there is nothing. */
  takePending(): PendingCrashes | undefined {
    if (this.#pendingCrashes.size === 0 && this.#pendingAnswered.size === 0) {
      return undefined;
    }
    const crashes = [...this.#pendingCrashes].map(([upstream, requests]) => ({
      upstream,
      requests: [...requests],
    }));
    const answered = [...this.#pendingAnswered];
    this.#pendingCrashes = new Map();
    this.#pendingAnswered = new Set();
    return { crashes, answered };
  }

  /** Queues a report again after it could not be delivered. */
  restorePending({ crashes, answered }: PendingCrashes): void {
    for (const { upstream, requests } of crashes) {
      const known = this.#pendingCrashes.get(upstream) ?? [];
      this.#pendingCrashes.set(upstream, new Set([...requests, ...known]));
    }
    this.#pendingAnswered = new Set([...answered, ...this.#pendingAnswered]);
  }

  /** Control has recorded the report. Requests with further crashes stay unrecorded. */
  noteRecorded({ crashes }: PendingCrashes): void {
    this.#release(crashes.flatMap(({ requests }) => requests));
  }

  #limitPending(): void {
    const excess = Math.max(0, this.#pendingCrashes.size - maximumPendingCrashes);
    for (const [upstream, requests] of [...this.#pendingCrashes].slice(0, excess)) {
      this.#pendingCrashes.delete(upstream);
      this.#release(requests);
    }
  }

  /** Holds requests back no longer, unless another crash of theirs is to be reported. */
  #release(requests: Iterable<string>): void {
    const pending = new Set([...this.#pendingCrashes.values()].flatMap((each) => [...each]));
    for (const request of requests) {
      if (!pending.has(request)) {
        this.#unrecorded.delete(request);
      }
    }
  }

  #isAnswered(request: string, now: Milliseconds): boolean {
    const answeredAt = this.#answeredAt.get(request);
    return answeredAt !== undefined && now - answeredAt < answerLifetime;
  }
}
