import type { DiskChange, LogEntry, StoredState } from '../../../src/consensus/core/index.js';

/** A change that the core has emitted and that is not synced yet. */
interface PendingChange {
  readonly write: number;
  readonly change: DiskChange;
}

/** An in-memory data folder that loses unsynced changes when its host crashes. */
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

  /** The state once all pending changes are synced. */
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

  /** Drops all but the oldest pending changes. Term and vote may reach the disk before log entries of the same batch. */
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
