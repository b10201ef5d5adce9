import type { Milliseconds } from '../common/index.js';
import { AccountUsage } from './account-usage.js';
import { ArrivalRates, type ArrivalRate } from './arrival-rates.js';
import { memoize } from './memoize.js';
import { orderByRank, type RankedEntry } from './rank.js';
import type { DropReason, DroppedEntry, QueueEntry, RequestQueue } from './request-queue.js';
import { ServiceShares } from './service-shares.js';
import { SlotRate } from './slot-rate.js';

/**
 * A refusal after this share of the objective costs the caller more than one at once. Until then a request is refused as soon as it is not
 * expected to leave the queue in time; after that, waiting to the end costs no more than a refusal.
 */
const harmlessShare = 1 / 8;

export interface UrgencyQueueOptions<Entry extends QueueEntry> {
  /** Expected time from sending the request to the first byte of its response. */
  readonly expectedStart: (entry: Entry) => Milliseconds;
  /** Weight of an account: work counts less for one with a higher weight. */
  readonly weightOf: (account: string, now: Milliseconds) => number;
}

/** What expected waits depend on, at one moment. */
interface Readings {
  readonly now: Milliseconds;
  readonly slotInterval: Milliseconds;
  readonly arrivals: readonly ArrivalRate[];
  /** Sum of all arrivals, per millisecond. */
  readonly arrivalRate: number;
  readonly usageOf: (account: string) => number;
}

/**
 * Orders requests by rank: those that can still meet their objective before late ones, then by priority, then fairly among accounts by
 * work, then by objective. A class or account that is served far less often than all requests goes first until it no longer is.
 */
export class UrgencyQueue<Entry extends QueueEntry> implements RequestQueue<Entry> {
  readonly #options: UrgencyQueueOptions<Entry>;
  readonly #waiting = new Map<string, Entry>();
  readonly #usage = new AccountUsage();
  readonly #shares = new ServiceShares();
  readonly #slots = new SlotRate();
  readonly #arrivals = new ArrivalRates();

  constructor(options: UrgencyQueueOptions<Entry>) {
    this.#options = options;
  }

  get length(): number {
    return this.#waiting.size;
  }

  offer(entry: Entry, now: Milliseconds): void {
    this.#arrivals.note(entry, now);
    this.#waiting.set(entry.id, entry);
  }

  /** Asks once for each combination of upstreams that requests have tried. */
  next(now: Milliseconds, isServable: (entry: Entry) => boolean): Entry | undefined {
    if (this.#waiting.size === 0) {
      this.#noteLength(now);
      return undefined;
    }
    const unservable = new Set<string>();
    for (const { entry } of this.#order(now)) {
      if (!unservable.has(entry.tried) && isServable(entry)) {
        this.#take(entry, now);
        return entry;
      }
      unservable.add(entry.tried);
    }
    this.#slots.setScarce(this.#waiting.size > 0, now);
    return undefined;
  }

  expire(now: Milliseconds): readonly DroppedEntry<Entry>[] {
    if (this.#waiting.size === 0) {
      return [];
    }
    const readings = this.#read(now);
    const { slotInterval } = readings;
    const dropped: DroppedEntry<Entry>[] = [];
    let position = 0;
    for (const ranked of this.#order(now)) {
      const { entry } = ranked;
      const expectedWait = this.#estimateWait(ranked, position, readings);
      const reason = findDropReason(entry, expectedWait, now);
      if (reason === undefined) {
        position += 1;
      } else {
        dropped.push({ entry, reason, position, expectedWait, slotInterval });
        this.#shares.noteRefused(listClasses(entry), now);
      }
    }
    for (const { entry } of dropped) {
      this.#waiting.delete(entry.id);
    }
    this.#noteLength(now);
    return dropped;
  }

  withdraw(id: string): void {
    this.#waiting.delete(id);
  }

  /** Slots are not scarce once nothing waits for them. */
  #noteLength(now: Milliseconds): void {
    if (this.#waiting.size === 0) {
      this.#slots.setScarce(false, now);
    }
  }

  #take(entry: Entry, now: Milliseconds): void {
    this.#waiting.delete(entry.id);
    this.#usage.charge(entry.account, this.#costOf(entry, now), now);
    this.#shares.noteServed(listClasses(entry), now);
    this.#slots.noteTaken(now);
    this.#noteLength(now);
  }

  #order(now: Milliseconds): readonly RankedEntry<Entry>[] {
    const isStarved = memoize((name) => this.#shares.isStarved(name, now));
    return orderByRank([...this.#waiting.values()], {
      findTier: (entry) => {
        if (listClasses(entry).some(isStarved)) {
          return 'starved';
        }
        return now <= this.#findLatestStart(entry) ? 'inTime' : 'late';
      },
      tagOf: (account) => this.#usage.read(account, now),
      costOf: (entry) => this.#costOf(entry, now),
    });
  }

  #read(now: Milliseconds): Readings {
    const arrivals = this.#arrivals.list(now);
    return {
      now,
      slotInterval: this.#slots.readInterval(now),
      arrivals,
      arrivalRate: arrivals.reduce((sum, { rate }) => sum + rate, 0),
      usageOf: memoize((account) => this.#usage.read(account, now)),
    };
  }

  /** Latest time at which the request can be sent and meet its objective. */
  #findLatestStart(entry: Entry): Milliseconds {
    return entry.objectiveAt === undefined
      ? Infinity
      : entry.objectiveAt - this.#options.expectedStart(entry);
  }

  #costOf(entry: Entry, now: Milliseconds): number {
    return entry.work / this.#options.weightOf(entry.account, now);
  }

  /**
   * Requests that arrive later and rank before this one also take slots: the more urgent ones, and all that are in time once it is late.
   */
  #estimateWait(
    { entry, tier }: RankedEntry<Entry>,
    position: number,
    { now, slotInterval, arrivals, arrivalRate, usageOf }: Readings,
  ): Milliseconds {
    const freed = 1 / slotInterval;
    if (tier === 'starved') {
      return (position + 1) / freed;
    }
    const usage = usageOf(entry.account);
    const before = arrivals.reduce((sum, { priority, account, rate }) => {
      const isPreferred = account !== entry.account && usageOf(account) < usage;
      const isBefore = priority < entry.priority || (priority === entry.priority && isPreferred);
      return isBefore ? sum + rate : sum;
    }, 0);
    const wait = estimateWaitBehind(position, freed - before);
    return now + wait <= this.#findLatestStart(entry)
      ? wait
      : estimateWaitBehind(position, freed - arrivalRate);
  }
}

function estimateWaitBehind(position: number, slotsPerMillisecond: number): Milliseconds {
  const slots = position + 1;
  return slotsPerMillisecond > 0 ? (slots + Math.sqrt(slots)) / slotsPerMillisecond : Infinity;
}

function findDropReason(
  entry: QueueEntry,
  expectedWait: Milliseconds,
  now: Milliseconds,
): DropReason | undefined {
  if (now >= entry.refuseAt) {
    return 'waitedTooLong';
  }
  return isFresh(entry, now) && now + expectedWait > entry.refuseAt ? 'noRoomInTime' : undefined;
}

/** Whether a refusal now costs the caller no more than one on arrival. */
function isFresh({ arrivedAt, objectiveAt, refuseAt }: QueueEntry, now: Milliseconds): boolean {
  return now - arrivedAt <= ((objectiveAt ?? refuseAt) - arrivedAt) * harmlessShare;
}

function listClasses({ route, account }: QueueEntry): readonly string[] {
  return [`route ${route}`, `account ${account}`];
}
