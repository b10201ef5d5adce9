import type { QueueEntry } from './request-queue.js';

/** Sorts waiting requests into the order in which they would leave the queue if no others arrived. */

/** `starved`: of a class or account that is served far less often than all requests. */
export type Tier = 'starved' | 'inTime' | 'late';

const tierOrder: Readonly<Record<Tier, number>> = { starved: 0, inTime: 1, late: 2 };

export interface RankedEntry<Entry extends QueueEntry> {
  readonly entry: Entry;
  readonly tier: Tier;
}

export interface RankingInput<Entry extends QueueEntry> {
  readonly findTier: (entry: Entry) => Tier;
  /** Start tag of an account with waiting requests. */
  readonly tagOf: (account: string) => number;
  /** Virtual time by which the account's tag advances when the request is served. */
  readonly costOf: (entry: Entry) => number;
}

export function orderByRank<Entry extends QueueEntry>(
  entries: readonly Entry[],
  { findTier, tagOf, costOf }: RankingInput<Entry>,
): readonly RankedEntry<Entry>[] {
  const ranked = entries
    .map((entry) => ({ entry, tier: findTier(entry) }))
    .sort((one, other) => compareLevels(one, other) || compareDueTimes(one.entry, other.entry));
  const tags = new Map<string, number>();
  const ordered: RankedEntry<Entry>[] = [];
  let start = 0;
  while (start < ranked.length) {
    const first = ranked[start];
    const end = ranked.findIndex(
      (other, index) => index > start && first !== undefined && compareLevels(first, other) !== 0,
    );
    const level = ranked.slice(start, end < 0 ? undefined : end);
    ordered.push(...interleaveAccounts(level, tags, { tagOf, costOf }));
    start += level.length;
  }
  return ordered;
}

/** Merges the requests of accounts, each in its own order, by the tags that the accounts have when their turn comes. */
function interleaveAccounts<Entry extends QueueEntry>(
  level: readonly RankedEntry<Entry>[],
  tags: Map<string, number>,
  { tagOf, costOf }: Pick<RankingInput<Entry>, 'tagOf' | 'costOf'>,
): readonly RankedEntry<Entry>[] {
  const remaining = new Map<string, RankedEntry<Entry>[]>();
  for (const ranked of level) {
    const { account } = ranked.entry;
    tags.set(account, tags.get(account) ?? tagOf(account));
    remaining.set(account, [...(remaining.get(account) ?? []), ranked]);
  }
  const ordered: RankedEntry<Entry>[] = [];
  for (let next = findNext(remaining, tags); next !== undefined; next = findNext(remaining, tags)) {
    const { account } = next.entry;
    remaining.get(account)?.shift();
    tags.set(account, (tags.get(account) ?? 0) + costOf(next.entry));
    ordered.push(next);
  }
  return ordered;
}

/** First request of the account with the lowest tag; of equal tags, the request that is due first. */
function findNext<Entry extends QueueEntry>(
  remaining: ReadonlyMap<string, readonly RankedEntry<Entry>[]>,
  tags: ReadonlyMap<string, number>,
): RankedEntry<Entry> | undefined {
  let best: RankedEntry<Entry> | undefined;
  let bestTag = Infinity;
  for (const [account, [first]] of remaining) {
    const tag = tags.get(account) ?? 0;
    if (first === undefined) {
      continue;
    }
    const isDueFirst = best !== undefined && compareDueTimes(first.entry, best.entry) < 0;
    if (best === undefined || tag < bestTag || (tag === bestTag && isDueFirst)) {
      best = first;
      bestTag = tag;
    }
  }
  return best;
}

function compareLevels(one: RankedEntry<QueueEntry>, other: RankedEntry<QueueEntry>): number {
  return tierOrder[one.tier] - tierOrder[other.tier] || one.entry.priority - other.entry.priority;
}

function compareDueTimes(one: QueueEntry, other: QueueEntry): number {
  const due = (entry: QueueEntry): number => entry.objectiveAt ?? Number.MAX_VALUE;
  return due(one) - due(other) || one.arrivedAt - other.arrivedAt;
}
