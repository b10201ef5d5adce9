import type { Milliseconds } from '../../common/index.js';
import type { LeadershipView } from '../replicated-log.js';
import type { CommittedEntry, StoredState } from './events.js';
import type { LogEntry, Snapshot } from './entry.js';
import { ReplicaLog } from './log.js';
import type { Member, StorageId } from './membership.js';
import { Outbox } from './outbox.js';
import { PendingProposals } from './proposals.js';
import { RoleStateMachine, type Role, type RoleEvent } from './role.js';
import type { CoreSettings } from './settings.js';

/** A write of log entries that is not synced yet. */
interface LogWrite {
  readonly write: number;
  readonly lastIndex: number;
}

/** State shared by the components of the core. */
export class CoreState {
  readonly settings: CoreSettings;
  readonly self: Member;
  readonly log: ReplicaLog;
  readonly outbox = new Outbox();
  readonly proposals = new PendingProposals();
  /** Random id of this process, to tell its clock readings from those of an earlier process. */
  readonly incarnation: number;
  readonly #role = new RoleStateMachine();
  #now: Milliseconds = 0;
  #term: number;
  #votedFor: StorageId | undefined;
  #promisedTo: StorageId | undefined;
  #leader: Member | undefined;
  #commitIndex: number;
  #syncedIndex: number;
  #logWrites: LogWrite[] = [];
  #freshAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(settings: CoreSettings, stored: StoredState) {
    this.settings = settings;
    this.self = { name: settings.name, storageId: stored.storageId };
    this.incarnation = settings.random.integerBelow(0x7fff_ffff);
    this.log = new ReplicaLog(stored.snapshot, stored.entries);
    this.#term = stored.hardState.term;
    this.#votedFor = stored.hardState.votedFor;
    this.#promisedTo = stored.promisedTo;
    this.#commitIndex = stored.snapshot?.index ?? 0;
    this.#syncedIndex = this.log.last.index;
  }

  get now(): Milliseconds {
    return this.#now;
  }

  get role(): Role {
    return this.#role.role;
  }

  get term(): number {
    return this.#term;
  }

  get votedFor(): StorageId | undefined {
    return this.#votedFor;
  }

  get promisedTo(): StorageId | undefined {
    return this.#promisedTo;
  }

  get commitIndex(): number {
    return this.#commitIndex;
  }

  /** Index of the last entry that is synced on this host. */
  get syncedIndex(): number {
    return this.#syncedIndex;
  }

  /** The leader of the current term, if this host knows it. */
  get leader(): Member | undefined {
    return this.#leader;
  }

  /** Latest time at which this host is known to have been up to date. */
  get freshAt(): Milliseconds {
    return this.#freshAt;
  }

  /** Whether this data folder has never been part of a log. */
  get isBlank(): boolean {
    return this.#term === 0 && this.log.last.index === 0;
  }

  /** Whether an entry of the current term is committed. Only then does a leader know the full commit index. */
  get hasCommittedInTerm(): boolean {
    return this.log.termAt(this.#commitIndex) === this.#term;
  }

  get view(): LeadershipView {
    if (this.role === 'leader') {
      return { type: 'leader', term: this.#term };
    }
    if (this.#leader === undefined) {
      return { type: 'leaderless', term: this.#term };
    }
    return { type: 'follower', term: this.#term, leader: this.#leader.name };
  }

  observeTime(now: Milliseconds): void {
    this.#now = Math.max(this.#now, now);
  }

  observeFreshness(at: Milliseconds): void {
    this.#freshAt = Math.max(this.#freshAt, at);
  }

  setLeader(leader: Member | undefined): void {
    this.#leader = leader;
  }

  stepRole(event: RoleEvent): void {
    this.#role.step(event);
  }

  /** Persists the term and the vote in it; answers are held back until both are synced. */
  saveHardState(term: number, votedFor: StorageId | undefined): void {
    if (term > this.#term) {
      this.#leader = undefined;
    }
    this.#term = term;
    this.#votedFor = votedFor;
    const hardState = votedFor === undefined ? { term } : { term, votedFor };
    this.outbox.persist({ type: 'hardState', hardState });
  }

  savePromise(promisedTo: StorageId): void {
    this.#promisedTo = promisedTo;
    this.outbox.persist({ type: 'promise', promisedTo });
  }

  /** Truncates the log after `keepThrough` and appends the entries. */
  saveEntries(keepThrough: number, entries: readonly LogEntry[]): void {
    if (keepThrough < this.#commitIndex) {
      throw new Error(`entry ${keepThrough + 1} is committed and cannot be replaced`);
    }
    this.log.truncateAfter(keepThrough);
    this.log.append(entries);
    const write = this.outbox.persist({ type: 'append', keepThrough, entries });
    this.#logWrites.push({ write, lastIndex: this.log.last.index });
  }

  /** Replaces the log up to the snapshot's index with a snapshot from another host. */
  installSnapshot(snapshot: Snapshot): void {
    const discardsLog = this.log.termAt(snapshot.index) !== snapshot.term;
    this.log.install(snapshot);
    const compactThrough = snapshot.index;
    const change = { type: 'snapshot', snapshot, compactThrough, discardsLog } as const;
    const write = this.outbox.persist(change);
    this.#logWrites.push({ write, lastIndex: this.log.last.index });
    this.#commitIndex = snapshot.index;
    this.outbox.emit({ type: 'restore', snapshot });
  }

  /** Stores a snapshot of this host's own state machine and compacts the log. */
  compact(index: number, data: string): void {
    const term = this.log.termAt(index);
    const newestIndex = this.log.snapshot?.index ?? 0;
    if (term === undefined || index <= newestIndex || index > this.#commitIndex) {
      return;
    }
    const snapshot: Snapshot = { index, term, membership: this.log.membershipAt(index), data };
    const { retainedEntries, retainedCharacters } = this.settings.tuning;
    const retainedStart = this.log.findStartWithin(index, retainedEntries, retainedCharacters);
    const compactThrough = Math.max(retainedStart - 1, 0);
    this.log.compact(snapshot, compactThrough);
    this.outbox.persist({ type: 'snapshot', snapshot, compactThrough, discardsLog: false });
  }

  /** Records that all writes up to `write` are synced. */
  markSynced(write: number): void {
    const synced = this.#logWrites.filter((logWrite) => logWrite.write <= write);
    this.#syncedIndex = synced.at(-1)?.lastIndex ?? this.#syncedIndex;
    this.#logWrites = this.#logWrites.slice(synced.length);
    this.outbox.markSynced(write);
  }

  /** Advances the commit index and applies the newly committed entries to the state machine. */
  advanceCommit(index: number): void {
    const through = Math.min(index, this.log.last.index);
    if (through <= this.#commitIndex) {
      return;
    }
    const entries = this.log.slice(this.#commitIndex + 1, through);
    this.#commitIndex = through;
    const committed = entries.map((entry): CommittedEntry => ({
      entry,
      proposalId: this.proposals.take(entry),
    }));
    this.outbox.emit({ type: 'apply', entries: committed });
  }
}
