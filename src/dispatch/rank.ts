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
  const readTag = (account: string): number => tags.get(account) ?? tagOf(account);
  const remaining = [...level];
  const ordered: RankedEntry<Entry>[] = [];
  while (remaining.length > 0) {
    // The sort is by due time, so of equal tags the request that is due first is taken.
    const index = findLowest(remaining, ({ entry }) => readTag(entry.account));
    for (const ranked of remaining.splice(index, 1)) {
      const { account } = ranked.entry;
      tags.set(account, readTag(account) + costOf(ranked.entry));
      ordered.push(ranked);
    }
  }
  return ordered;
}

function findLowest<Item>(items: readonly Item[], valueOf: (item: Item) => number): number {
  const values = items.map(valueOf);
  return values.indexOf(Math.min(...values));
}

function compareLevels(one: RankedEntry<QueueEntry>, other: RankedEntry<QueueEntry>): number {
  return tierOrder[one.tier] - tierOrder[other.tier] || one.entry.priority - other.entry.priority;
}

function compareDueTimes(one: QueueEntry, other: QueueEntry): number {
  const due = (entry: QueueEntry): number => entry.objectiveAt ?? Number.MAX_VALUE;
  return due(one) - due(other) || one.arrivedAt - other.arrivedAt;
}
