import type { Milliseconds } from '../common/index.js';
import type { Target } from './target-list.js';

/** Tracks the load of each target as one gateway knows it; performs no I/O. */

/** Load of an upstream as it reports it. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Slots assumed for an upstream that has not reported their number. */
const defaultSlots = 8;
/** Time after which the load reported by an instance of a plain service no longer counts. */
const loadLifetime: Milliseconds = 1000;
/** Delay before a group that was full is probed with a request; about the time until the response headers, which report the load. */
export const probeInterval: Milliseconds = 300;
/**
 * Longest time for which a group gets no requests after its head answered that it does not serve them. Control withdraws the group or
 * orders the head to open again within this time, also if all hosts have restarted and it first has to elect a leader.
 */
const closedDuration: Milliseconds = 2000;
/** Time for which an upstream is avoided, while there are others, after it was unreachable or interrupted a response. */
const suspicionDuration: Milliseconds = 1000;

/** Load of a target as one gateway knows it. */
export interface KnownLoad {
  /** Requests of this gateway in flight there. */
  readonly own: number;
  /** Requests among `own` without response headers yet. */
  readonly unanswered: number;
  /** Whether it has responded since it was last closed or paused. */
  readonly hasAnswered: boolean;
  /** Requests of other gateways at the last load report. */
  readonly others: number;
  /** Requests of this gateway at the last load report. */
  readonly ownAtReport: number;
  /** Negative infinity if there was no report. */
  readonly reportedAt: Milliseconds;
  readonly slots: number;
}

interface LoadRecord {
  /** Requests of this gateway in flight there. */
  own: number;
  /** Requests among `own` without response headers yet. */
  unanswered: number;
  /** Whether it has ever responded; not all upstreams report their load in responses. */
  hasAnswered: boolean;
  /** Requests of other gateways at the last load report. */
  others: number;
  reportedAt: Milliseconds;
  /** Requests of this gateway in flight there at the last load report. */
  ownAtReport: number;
  slots: number | undefined;
  suspectedUntil: Milliseconds;
  closedUntil: Milliseconds;
}

export class TargetLoads {
  readonly #loads = new Map<string, LoadRecord>();

  noteSent(target: Target): void {
    const load = this.#find(target.key);
    load.own += 1;
    load.unanswered += 1;
  }

  /** Records that the response to one of the requests has started. */
  noteAnswered(target: Target): void {
    const load = this.#find(target.key);
    load.unanswered = Math.max(0, load.unanswered - 1);
    load.hasAnswered = true;
  }

  /** `isAnswered`: whether the response had started. */
  noteDone(target: Target, isAnswered: boolean): void {
    const load = this.#find(target.key);
    load.own = Math.max(0, load.own - 1);
    if (!isAnswered) {
      load.unanswered = Math.max(0, load.unanswered - 1);
    }
  }

  noteLoad(target: Target, { running, waiting, slots }: UpstreamLoad, now: Milliseconds): void {
    const load = this.#find(target.key);
    load.others = Math.max(0, running + waiting - load.own);
    load.slots = slots;
    load.reportedAt = now;
    load.ownAtReport = load.own;
  }

  suspect({ key }: Pick<Target, 'key'>, now: Milliseconds): void {
    this.#find(key).suspectedUntil = now + suspicionDuration;
  }

  /**
   * Records that the upstream answered that it does not serve the group or instance that was meant.
   * Load pattern: all hosts restart at once. Gateways learn the groups of before from control, and hundreds of requests wait for them; the
   * first one that each head answers tells that its group is gone. Sent all the same, the others would spend the retry budget there and be
   * refused a moment before new groups open.
   */
  noteClosed({ key }: Pick<Target, 'key'>, now: Milliseconds): void {
    const load = this.#find(key);
    load.closedUntil = now + closedDuration;
    // The next request to it is a probe again.
    load.hasAnswered = false;
  }

  /** Records that the upstream asked for a pause. The first request after it is a probe, so that not all that wait by then follow at once. */
  notePause({ key }: Pick<Target, 'key'>): void {
    this.#find(key).hasAnswered = false;
  }

  /** Records that control has ordered the group to open again. */
  noteReopening({ key }: Pick<Target, 'key'>): void {
    this.#find(key).closedUntil = Number.NEGATIVE_INFINITY;
  }

  isClosed(target: Target, now: Milliseconds): boolean {
    return this.#find(target.key).closedUntil > now;
  }

  isSuspected(target: Target, now: Milliseconds): boolean {
    return this.#find(target.key).suspectedUntil > now;
  }

  /**
   * Requests in flight at the target per slot.
   * The requests of other gateways at a group count until its next report, because under load new ones replace those that end. At an
   * instance of a plain service, which completes a request long before its next report, they count less with age.
   */
  utilization(target: Target, now: Milliseconds): number {
    const { own, others, reportedAt } = this.#find(target.key);
    const fading = Math.max(0, 1 - (now - reportedAt) / loadLifetime);
    const share = target.isGroup ? 1 : fading;
    return (own + others * share) / this.#slotsOf(target);
  }

  /**
   * Whether the target can accept one more request, with at most `limit` per slot.
   * Load pattern: a burst, or all callers returning after a restart, with gateways that each know only their own requests. If a group without
   * a report counted as empty, each gateway would send it all waiting requests until the responses, which are late then, report that it is
   * full; every request would wait in its queue. So a group that has never responded gets one request. To one that was full at its last
   * report, a gateway with requests there sends another when one of them ends; a gateway without any sends one after `probeInterval`, and
   * the response reports the load. If all gateways probed, the probes of tens of them alone would exceed what a head completes.
   */
  hasCapacity(target: Target, limit: number, now: Milliseconds): boolean {
    const { own, reportedAt, unanswered, hasAnswered } = this.#find(target.key);
    const isAsked = target.isGroup && unanswered > 0;
    if (isAsked && !hasAnswered) {
      return false;
    }
    if (this.utilization(target, now) < limit) {
      return true;
    }
    return target.isGroup && own === 0 && now - reportedAt > probeInterval;
  }

  /** What this gateway knows of the load of the target. */
  read(target: Target): KnownLoad {
    const { own, others, ownAtReport, reportedAt, unanswered, hasAnswered } = this.#find(
      target.key,
    );
    const slots = this.#slotsOf(target);
    return { own, others, ownAtReport, reportedAt, unanswered, hasAnswered, slots };
  }

  /** Drops targets that no longer exist and have no requests in flight. */
  retain(keys: ReadonlySet<string>): void {
    for (const [key, { own }] of this.#loads) {
      if (own === 0 && !keys.has(key)) {
        this.#loads.delete(key);
      }
    }
  }

  #slotsOf(target: Target): number {
    return this.#find(target.key).slots ?? target.slots ?? defaultSlots;
  }

  #find(key: string): LoadRecord {
    const known = this.#loads.get(key);
    if (known !== undefined) {
      return known;
    }
    const load = {
      own: 0,
      unanswered: 0,
      hasAnswered: false,
      others: 0,
      reportedAt: Number.NEGATIVE_INFINITY,
      ownAtReport: 0,
      slots: undefined,
      suspectedUntil: Number.NEGATIVE_INFINITY,
      closedUntil: Number.NEGATIVE_INFINITY,
    };
    this.#loads.set(key, load);
    return load;
  }
}
