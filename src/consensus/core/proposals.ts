import { createFailure } from '../../common/index.js';
import type { ConsensusEffect } from './events.js';
import type { LogEntry } from './entry.js';

/** A proposal that is appended to this leader's log and not committed yet. */
interface PendingProposal {
  readonly term: number;
  readonly proposalId: number;
}

/** Maps log entries to the pending proposals of this host. */
export class PendingProposals {
  readonly #byIndex = new Map<number, PendingProposal>();

  get size(): number {
    return this.#byIndex.size;
  }

  add(entry: LogEntry, proposalId: number): void {
    this.#byIndex.set(entry.index, { term: entry.term, proposalId });
  }

  /** Removes and returns the proposal of a committed entry; undefined when the entry at its index has another term. */
  take(entry: LogEntry): number | undefined {
    const pending = this.#byIndex.get(entry.index);
    if (pending?.term !== entry.term) {
      return undefined;
    }
    this.#byIndex.delete(entry.index);
    return pending.proposalId;
  }

  /** Fails all proposals as uncertain: a later leader may commit or overwrite their entries. */
  failAll(): readonly ConsensusEffect[] {
    const effects = [...this.#byIndex.values()].map(({ proposalId }): ConsensusEffect => ({
      type: 'proposalFailed',
      proposalId,
      failure: createFailure('changeUncertain', 'leadership was lost before the commit'),
    }));
    this.#byIndex.clear();
    return effects;
  }
}
