import { countCharacters, type LogEntry, type LogPosition, type Snapshot } from './entry.js';
import { emptyMembership, type Membership } from './membership.js';

/** A membership and the index of the entry that set it. */
interface IndexedMembership {
  readonly index: number;
  readonly membership: Membership;
}

/** The in-memory log: the latest snapshot, and the entries after a base position at or before that snapshot. */
export class ReplicaLog {
  #base: LogPosition = { index: 0, term: 0 };
  #entries: LogEntry[] = [];
  #snapshot: Snapshot | undefined;
  /** In log order; the first one is in force at the base. */
  #memberships: IndexedMembership[] = [{ index: 0, membership: emptyMembership }];

  constructor(snapshot: Snapshot | undefined, entries: readonly LogEntry[]) {
    if (snapshot !== undefined) {
      this.install(snapshot);
    }
    this.append(entries.filter((entry) => entry.index > this.#base.index));
  }

  /** Latest snapshot; undefined before the first. */
  get snapshot(): Snapshot | undefined {
    return this.#snapshot;
  }

  /** Position directly before the first entry that is still held. */
  get base(): LogPosition {
    return this.#base;
  }

  get last(): LogPosition {
    return this.#entries.at(-1) ?? this.#base;
  }

  /** The latest membership, committed or not: it is in force as soon as its entry is in the log. */
  get membership(): Membership {
    return this.#newestMembership.membership;
  }

  /** Index of the entry that set the latest membership. */
  get membershipIndex(): number {
    return this.#newestMembership.index;
  }

  /** Term of the entry at an index; undefined when it was compacted away or is not in the log yet. */
  termAt(index: number): number | undefined {
    if (index === this.#base.index) {
      return this.#base.term;
    }
    return this.entryAt(index)?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.#entries[index - this.#base.index - 1];
  }

  /** Entries from one index to another, both inclusive. */
  slice(from: number, through: number): readonly LogEntry[] {
    const offset = this.#base.index + 1;
    return this.#entries.slice(Math.max(from - offset, 0), Math.max(through - offset + 1, 0));
  }

  /** First index of the entries before `through` (inclusive) that together stay within both limits; `through + 1` if none does. */
  findStartWithin(through: number, maximumEntries: number, maximumCharacters: number): number {
    let start = through + 1;
    let characters = 0;
    while (through - start + 1 < maximumEntries) {
      const entry = this.entryAt(start - 1);
      characters += entry === undefined ? Infinity : countCharacters(entry);
      if (characters > maximumCharacters) {
        return start;
      }
      start -= 1;
    }
    return start;
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
    this.#memberships = this.#memberships.filter((entry) => entry.index <= index);
  }

  /** The membership as of an index that is still held. */
  membershipAt(index: number): Membership {
    const entry = this.#memberships.findLast((candidate) => candidate.index <= index);
    return entry?.membership ?? emptyMembership;
  }

  /** Stores a snapshot and drops the entries up to `throughIndex`, which may be before the snapshot's index. */
  compact(snapshot: Snapshot, throughIndex: number): void {
    this.#snapshot = snapshot;
    const index = Math.min(throughIndex, snapshot.index);
    const term = this.termAt(index);
    if (index <= this.#base.index || term === undefined) {
      return;
    }
    const held = this.#memberships.findLast((entry) => entry.index <= index);
    this.#entries.splice(0, index - this.#base.index);
    this.#base = { index, term };
    const later = this.#memberships.filter((entry) => entry.index > index);
    this.#memberships = held === undefined ? later : [held, ...later];
  }

  /** Replaces the log with a snapshot from another host. Later entries are kept only if this log contains its last entry. */
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

  get #newestMembership(): IndexedMembership {
    return this.#memberships.at(-1) ?? { index: 0, membership: emptyMembership };
  }
}
