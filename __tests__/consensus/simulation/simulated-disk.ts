import type { DiskChange, LogEntry, StoredState } from '../../../src/consensus/core/index.js';

/** A change that the core handed out and no sync has covered yet. */
interface PendingChange {
  readonly write: number;
  readonly change: DiskChange;
}

/** A data folder in memory that loses what was not synced when its host crashes. */
export class SimulatedDisk {
  #synced: StoredState;
  #pending: PendingChange[] = [];

  constructor(storageId: string) {
    this.#synced = {
      storageId,
      promisedTo: undefined,
      hardState: { term: 0 },
      snapshot: undefined,
      entries: [],
    };
  }

  get synced(): StoredState {
    return this.#synced;
  }

  /** As it will be once everything is synced. */
  get newest(): StoredState {
    return this.#pending.reduce((state, { change }) => applyChange(state, change), this.#synced);
  }

  get isDirty(): boolean {
    return this.#pending.length > 0;
  }

  add(write: number, change: DiskChange): void {
    this.#pending.push({ write, change });
  }

  /** Syncs the oldest changes; returns the number of the last one. */
  sync(count: number): number | undefined {
    const batch = this.#pending.splice(0, count);
    this.#synced = batch.reduce((state, { change }) => applyChange(state, change), this.#synced);
    return batch.at(-1)?.write;
  }

  /** Loses all but the oldest changes. Term and vote may be on the disk before log entries of the same batch. */
  crash(keptChanges: number, keepsHardState: boolean): void {
    this.sync(keptChanges);
    const hardState = this.#pending.findLast(({ change }) => change.type === 'hardState');
    this.#pending = keepsHardState && hardState !== undefined ? [hardState] : [];
    this.sync(1);
  }
}

function applyChange(state: StoredState, change: DiskChange): StoredState {
  switch (change.type) {
    case 'promise':
      return { ...state, promisedTo: change.promisedTo };
    case 'hardState':
      return { ...state, hardState: change.hardState };
    case 'append': {
      const kept = state.entries.filter((entry) => entry.index <= change.keepThrough);
      return { ...state, entries: [...kept, ...change.entries] };
    }
    case 'snapshot': {
      const entries = change.discardsLog ? [] : dropThrough(state.entries, change.snapshot.index);
      return { ...state, snapshot: change.snapshot, entries };
    }
  }
}

function dropThrough(entries: readonly LogEntry[], index: number): readonly LogEntry[] {
  return entries.filter((entry) => entry.index > index);
}
