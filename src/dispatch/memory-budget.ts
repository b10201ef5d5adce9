import type { Milliseconds } from '../common/index.js';

/** Decides which slow callers have to give way when the memory held for all callers exceeds a budget; free of I/O. */

/** Part of the budget from which reading for the slowest callers stops. */
const pausePart = 0.75;
/** A caller that has caught up within this time is not closed: its connection has just not been written to yet. */
const slowTime: Milliseconds = 250;
/** Time between stopping to read for a caller and closing its connection, in which it may still take what is buffered. */
const closeDelay: Milliseconds = 500;

/** Memory held for one caller. */
export interface HeldMemory<Key> {
  readonly key: Key;
  /** Bytes that the caller has not taken yet. */
  readonly backlog: number;
  /** All other bytes: its request, and a response that is not complete. */
  readonly held: number;
  /** Whether its request is still being received. */
  readonly isReceiving: boolean;
}

/** `pause`: stop reading from the caller's upstream. `resume`: read again. `close`: close the caller's connection. */
export interface MemoryRelief<Key> {
  readonly type: 'pause' | 'resume' | 'close';
  readonly key: Key;
  readonly bytes: number;
  /** Time for which the caller has been behind. */
  readonly behindFor: Milliseconds;
}

interface SlowCaller {
  readonly behindSince: Milliseconds;
  /** Undefined while the budget does not stop reading for it. */
  readonly pausedAt: Milliseconds | undefined;
}

export class MemoryBudget<Key> {
  readonly #limit: number;
  readonly #callers = new Map<Key, SlowCaller>();
  #isShort = false;

  /** `limit`: bytes held for all callers together. */
  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Whether nothing should be read ahead for callers that have a backlog; as of the last review. */
  get isShort(): boolean {
    return this.#isShort;
  }

  /** The caller has taken all that was buffered for it, and reading for it goes on. */
  noteCaughtUp(key: Key, now: Milliseconds): void {
    if (this.#callers.has(key)) {
      this.#callers.set(key, { behindSince: now, pausedAt: undefined });
    }
  }

  /** Reviews all callers; called several times a second. */
  review(memory: readonly HeldMemory<Key>[], now: Milliseconds): readonly MemoryRelief<Key>[] {
    const resumed = this.#noteBehind(memory, now);
    const total = memory.reduce((sum, { backlog, held }) => sum + backlog + held, 0);
    const slowest = memory
      .flatMap((each) => {
        const known = this.#callers.get(each.key);
        return known === undefined ? [] : [{ ...each, behindFor: now - known.behindSince }];
      })
      .sort((one, other) => other.behindFor - one.behindFor);
    const closed = this.#chooseClosed(slowest, total - this.#limit, now);
    const excess = total - pausePart * this.#limit;
    this.#isShort = excess > 0;
    const isOver = total > this.#limit;
    const paused = this.#choosePaused(slowest, isOver ? Number.POSITIVE_INFINITY : excess, now);
    return [...resumed, ...closed, ...paused];
  }

  #noteBehind(memory: readonly HeldMemory<Key>[], now: Milliseconds): MemoryRelief<Key>[] {
    const present = new Set(memory.map(({ key }) => key));
    for (const key of this.#callers.keys()) {
      if (!present.has(key)) {
        this.#callers.delete(key);
      }
    }
    const resumed: MemoryRelief<Key>[] = [];
    for (const { key, backlog, held, isReceiving } of memory) {
      const known = this.#callers.get(key);
      if (backlog > 0 || isReceiving) {
        this.#callers.set(key, known ?? { behindSince: now, pausedAt: undefined });
      } else if (known !== undefined) {
        this.#callers.delete(key);
        if (known.pausedAt !== undefined) {
          resumed.push({ type: 'resume', key, bytes: held, behindFor: 0 });
        }
      }
    }
    return resumed;
  }

  /** The slowest callers for whom reading stopped a while ago, as many as free the excess. */
  #chooseClosed(
    slowest: readonly SlowMemory<Key>[],
    excess: number,
    now: Milliseconds,
  ): readonly MemoryRelief<Key>[] {
    return takeUntil(slowest, excess, ({ key, behindFor }) => {
      const pausedAt = this.#callers.get(key)?.pausedAt;
      return behindFor >= slowTime && pausedAt !== undefined && now - pausedAt >= closeDelay;
    }).map((each) => describeRelief('close', each));
  }

  /** The slowest callers that together hold the excess. A caller stays paused until it has caught up. */
  #choosePaused(
    slowest: readonly SlowMemory<Key>[],
    excess: number,
    now: Milliseconds,
  ): readonly MemoryRelief<Key>[] {
    const chosen = new Set(takeUntil(slowest, excess, () => true).map(({ key }) => key));
    return slowest.flatMap((each) => {
      const known = this.#callers.get(each.key);
      const isPaused = known?.pausedAt !== undefined;
      if (known === undefined || (!isPaused && !chosen.has(each.key))) {
        return [];
      }
      this.#callers.set(each.key, { ...known, pausedAt: known.pausedAt ?? now });
      return [describeRelief('pause', each)];
    });
  }
}

type SlowMemory<Key> = HeldMemory<Key> & { readonly behindFor: Milliseconds };

/** Takes accepted callers in order until their bytes reach the excess. */
function takeUntil<Key>(
  callers: readonly SlowMemory<Key>[],
  excess: number,
  isAccepted: (caller: SlowMemory<Key>) => boolean,
): readonly SlowMemory<Key>[] {
  const taken: SlowMemory<Key>[] = [];
  let bytes = 0;
  for (const caller of callers) {
    if (bytes >= excess) {
      break;
    }
    if (isAccepted(caller)) {
      taken.push(caller);
      bytes += caller.backlog + caller.held;
    }
  }
  return taken;
}

function describeRelief<Key>(
  type: MemoryRelief<Key>['type'],
  { key, backlog, held, behindFor }: SlowMemory<Key>,
): MemoryRelief<Key> {
  return { type, key, bytes: backlog + held, behindFor };
}
