import { createFailure } from '../../common/index.js';
import type { ConsensusEffect } from './events.js';
import type { LogEntry } from './entry.js';

/** A proposal that is in this leader's log and not committed yet. */
interface PendingProposal {
  readonly term: number;
  readonly proposalId: number;
}

/** Knows which entries of the log answer a proposal made here. */
export class PendingProposals {
  readonly #byIndex = new Map<number, PendingProposal>();

  get size(): number {
    return this.#byIndex.size;
  }

  add(entry: LogEntry, proposalId: number): void {
    this.#byIndex.set(entry.index, { term: entry.term, proposalId });
  }

  /** The proposal that a committed entry answers; an entry of another term at its index is not it. */
  take(entry: LogEntry): number | undefined {
    const pending = this.#byIndex.get(entry.index);
    if (pending?.term !== entry.term) {
      return undefined;
    }
    this.#byIndex.delete(entry.index);
    return pending.proposalId;
  }

  /** A later leader may commit these entries or overwrite them: nobody here can tell. */
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
