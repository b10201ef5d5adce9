import type { Milliseconds } from '../../common/index.js';
import type { UpstreamLoad } from './dialect.js';
import type { Target } from './target.js';

/** What a gateway knows of the load of each target; free of I/O. */

/** Slots of an upstream that has not said how many it has. */
const assumedSlots = 8;
/** What an instance of a plain service said of its load is of use for this long. */
const loadLifetime: Milliseconds = 1000;
/** A group that was full is asked again after this long: about the time from a request to the head of its answer, which tells. */
const probeInterval: Milliseconds = 300;
/** An upstream that could not be reached, or broke an answer off, is passed over for this long while there are others. */
const suspicionDuration: Milliseconds = 1000;

interface KnownLoad {
  /** Requests of this gateway that are under way there. */
  own: number;
  /** Those of them that have no answer yet. */
  unanswered: number;
  /** Whether it ever answered; not all upstreams tell their load with it. */
  hasAnswered: boolean;
  /** Requests of others, when the upstream last said its load. */
  others: number;
  heardAt: Milliseconds;
  slots: number | undefined;
  suspectedUntil: Milliseconds;
}

export class TargetLoads {
  readonly #loads = new Map<string, KnownLoad>();

  noteSent(target: Target): void {
    const load = this.#find(target.key);
    load.own += 1;
    load.unanswered += 1;
  }

  /** The answer to one of the requests began. */
  noteAnswered(target: Target): void {
    const load = this.#find(target.key);
    load.unanswered = Math.max(0, load.unanswered - 1);
    load.hasAnswered = true;
  }

  /** `isAnswered`: its answer had begun. */
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
    load.heardAt = now;
  }

  suspect({ key }: Pick<Target, 'key'>, now: Milliseconds): void {
    this.#find(key).suspectedUntil = now + suspicionDuration;
  }

  isSuspected(target: Target, now: Milliseconds): boolean {
    return this.#find(target.key).suspectedUntil > now;
  }

  /**
   * Requests under way at the target for each of its slots.
   * Those of others at a group are held until it says otherwise: under load their place is taken by the next ones. At an instance of a plain
   * service, which is done with a request long before it is heard of again, they fade.
   */
  useOf(target: Target, now: Milliseconds): number {
    const { own, others, heardAt } = this.#find(target.key);
    const fading = Math.max(0, 1 - (now - heardAt) / loadLifetime);
    const share = target.isGroup ? 1 : fading;
    return (own + others * share) / this.#slotsOf(target);
  }

  /**
   * Whether the target can take one more request, with at most `limit` for each of its slots.
   * Load pattern: a burst, or everyone coming back after a restart, with gateways that each know only their own requests. Were a group that
   * was not heard of taken for empty, each of them would send it all that waits, until the answers, which come late then, say that it is full;
   * every request would wait in its queue. So a group that never answered gets one request, and one that was full when it was heard of last
   * gets one after a while; the answer tells.
   */
  hasRoom(target: Target, limit: number, now: Milliseconds): boolean {
    const { own, heardAt, unanswered, hasAnswered } = this.#find(target.key);
    const isAsked = target.isGroup && unanswered > 0;
    if (isAsked && !hasAnswered) {
      return false;
    }
    if (this.useOf(target, now) < limit) {
      return true;
    }
    const isFullOfOwn = own >= limit * this.#slotsOf(target);
    return target.isGroup && !isFullOfOwn && !isAsked && now - heardAt > probeInterval;
  }

  /** Forgets targets that are there no more and have nothing under way. */
  retain(keys: ReadonlySet<string>): void {
    for (const [key, { own }] of this.#loads) {
      if (own === 0 && !keys.has(key)) {
        this.#loads.delete(key);
      }
    }
  }

  #slotsOf(target: Target): number {
    return this.#find(target.key).slots ?? target.slots ?? assumedSlots;
  }

  #find(key: string): KnownLoad {
    const known = this.#loads.get(key);
    if (known !== undefined) {
      return known;
    }
    const load = {
      own: 0,
      unanswered: 0,
      hasAnswered: false,
      others: 0,
      heardAt: Number.NEGATIVE_INFINITY,
      slots: undefined,
      suspectedUntil: Number.NEGATIVE_INFINITY,
    };
    this.#loads.set(key, load);
    return load;
  }
}
