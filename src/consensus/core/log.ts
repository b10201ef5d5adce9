import type { LogEntry, LogPosition, Snapshot } from './entry.js';
import { emptyMembership, type Membership } from './membership.js';

/** A membership and the entry that set it. */
interface PlacedMembership {
  readonly index: number;
  readonly membership: Membership;
}

/** The log in memory: a snapshot, and the entries after a base position at or before the snapshot. */
export class ReplicaLog {
  #base: LogPosition = { index: 0, term: 0 };
  #entries: LogEntry[] = [];
  #snapshot: Snapshot | undefined;
  /** In order; the first one holds at the base. */
  #memberships: PlacedMembership[] = [{ index: 0, membership: emptyMembership }];

  constructor(snapshot: Snapshot | undefined, entries: readonly LogEntry[]) {
    if (snapshot !== undefined) {
      this.install(snapshot);
    }
    this.append(entries.filter((entry) => entry.index > this.#base.index));
  }

  /** Newest snapshot; undefined before the first. */
  get snapshot(): Snapshot | undefined {
    return this.#snapshot;
  }

  /** Position before the first entry still held. */
  get base(): LogPosition {
    return this.#base;
  }

  get last(): LogPosition {
    return this.#entries.at(-1) ?? this.#base;
  }

  /** The newest membership, committed or not: it holds from the moment its entry is in the log. */
  get membership(): Membership {
    return this.#newestMembership.membership;
  }

  /** Index of the entry that set the newest membership. */
  get membershipIndex(): number {
    return this.#newestMembership.index;
  }

  /** Term of the entry at an index; undefined when it was compacted away or is not there yet. */
  termAt(index: number): number | undefined {
    if (index === this.#base.index) {
      return this.#base.term;
    }
    return this.entryAt(index)?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.#entries[index - this.#base.index - 1];
  }

  /** Entries from one index to another, both included. */
  slice(from: number, through: number): readonly LogEntry[] {
    const offset = this.#base.index + 1;
    return this.#entries.slice(Math.max(from - offset, 0), Math.max(through - offset + 1, 0));
  }

  /** First index of the run of entries that share the term of the entry at `index`. */
  findTermStart(index: number): number {
    const term = this.termAt(index);
    let start = index;
    while (start - 1 > this.#base.index && this.termAt(start - 1) === term) {
      start -= 1;
    }
    return start;
  }

  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      if (entry.index !== this.last.index + 1) {
        throw new Error(`entry ${entry.index} does not follow ${this.last.index}`);
      }
      this.#entries.push(entry);
      if (entry.payload.type === 'membership') {
        this.#memberships.push({ index: entry.index, membership: entry.payload.membership });
      }
    }
  }

  /** Drops the entries after an index. */
  truncateAfter(index: number): void {
    this.#entries.length = Math.max(index - this.#base.index, 0);
    this.#memberships = this.#memberships.filter((placed) => placed.index <= index);
  }

  /** The membership as of an index that is still held. */
  membershipAt(index: number): Membership {
    const placed = this.#memberships.findLast((candidate) => candidate.index <= index);
    return placed?.membership ?? emptyMembership;
  }

  /** Takes a snapshot in place of the entries up to `throughIndex`, which may be earlier than the snapshot. */
  compact(snapshot: Snapshot, throughIndex: number): void {
    this.#snapshot = snapshot;
    const index = Math.min(throughIndex, snapshot.index);
    const term = this.termAt(index);
    if (index <= this.#base.index || term === undefined) {
      return;
    }
    const held = this.#memberships.findLast((placed) => placed.index <= index);
    this.#entries.splice(0, index - this.#base.index);
    this.#base = { index, term };
    const later = this.#memberships.filter((placed) => placed.index > index);
    this.#memberships = held === undefined ? later : [held, ...later];
  }

  /** Takes another host's snapshot in place of the whole log; entries after it stay only where they follow from it. */
  install(snapshot: Snapshot): void {
    if (this.termAt(snapshot.index) === snapshot.term) {
      this.compact(snapshot, snapshot.index);
      return;
    }
    this.#snapshot = snapshot;
    this.#base = { index: snapshot.index, term: snapshot.term };
    this.#entries = [];
    this.#memberships = [{ index: snapshot.index, membership: snapshot.membership }];
  }

  get #newestMembership(): PlacedMembership {
    return this.#memberships.at(-1) ?? { index: 0, membership: emptyMembership };
  }
}
