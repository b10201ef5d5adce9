import type { ConsensusEffect, DiskChange } from './events.js';
import type { NodeName } from './membership.js';
import type { ConsensusMessage } from './messages.js';

/** A message that waits for the disk. */
interface HeldMessage {
  readonly afterWrite: number;
  readonly to: NodeName;
  readonly message: ConsensusMessage;
}

/**
 * Collects the effects of one event, and holds answers back until what they promise is synced.
 * An answer sent earlier could be forgotten by a crash: the same host would then vote twice in a term, or an entry that
 * the leader counted would be gone.
 */
export class Outbox {
  #effects: ConsensusEffect[] = [];
  #held: HeldMessage[] = [];
  #lastWrite = 0;
  #syncedWrite = 0;

  /** Number of the newest write. */
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

  /** For messages that promise nothing about this disk. */
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

  take(): readonly ConsensusEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}
