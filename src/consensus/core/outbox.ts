import type { ConsensusEffect, DiskChange } from './events.js';
import type { NodeName } from './membership.js';
import type { ConsensusMessage } from './messages.js';

/** A message that waits for a write to be synced. */
interface HeldMessage {
  readonly afterWrite: number;
  readonly to: NodeName;
  readonly message: ConsensusMessage;
}

/**
 * Collects the effects of one event, and holds answers back until the writes that they depend on are synced.
 * If an answer were sent earlier, a crash could lose the state behind it: the host could then vote twice in a term, or
 * lose an entry that the leader has counted as synced.
 */
export class Outbox {
  #effects: ConsensusEffect[] = [];
  #held: HeldMessage[] = [];
  #lastWrite = 0;
  #syncedWrite = 0;

  /** Number of the latest write. */
  get lastWrite(): number {
    return this.#lastWrite;
  }

  emit(effect: ConsensusEffect): void {
    this.#effects.push(effect);
  }

  persist(change: DiskChange): number {
    this.#lastWrite += 1;
    this.emit({ type: 'persist', write: this.#lastWrite, change });
    return this.#lastWrite;
  }

  /** Sends at once. For messages that do not depend on anything written to this host's disk. */
  send(to: NodeName, message: ConsensusMessage): void {
    this.emit({ type: 'send', to, message });
  }

  /** Sends once every write so far is synced. */
  sendWhenSynced(to: NodeName, message: ConsensusMessage): void {
    if (this.#syncedWrite >= this.#lastWrite) {
      this.send(to, message);
      return;
    }
    this.#held.push({ afterWrite: this.#lastWrite, to, message });
  }

  isSynced(write: number): boolean {
    return write <= this.#syncedWrite;
  }

  markSynced(write: number): void {
    this.#syncedWrite = Math.max(this.#syncedWrite, write);
    const ready = this.#held.filter((held) => this.isSynced(held.afterWrite));
    this.#held = this.#held.filter((held) => !this.isSynced(held.afterWrite));
    for (const { to, message } of ready) {
      this.send(to, message);
    }
  }

  drain(): readonly ConsensusEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}
