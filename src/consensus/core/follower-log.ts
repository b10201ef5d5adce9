import type { Member, NodeName } from './membership.js';
import type { AppendMessage, LeaderMessage, SnapshotChunkMessage } from './messages.js';
import { SnapshotAssembly } from './snapshot-assembly.js';
import type { CoreState } from './state.js';

/** Fields of every answer to a leader. */
interface AnswerHeader {
  readonly sender: string;
  readonly recipient: string;
  readonly term: number;
  readonly round: number;
  readonly sentAt: number;
  readonly clock: { readonly incarnation: number; readonly at: number };
}

/** Appends the leader's entries to this host's log, and acknowledges them once they are synced. */
export class FollowerLog {
  readonly #state: CoreState;
  #assembly: SnapshotAssembly | undefined;

  constructor(state: CoreState) {
    this.#state = state;
  }

  handleAppend(leader: Member, message: AppendMessage): void {
    const wantedIndex = this.#findGap(message);
    if (wantedIndex !== undefined) {
      this.#reject(leader.name, message, wantedIndex);
      return;
    }
    this.#appendEntries(message);
    const matchIndex = message.previousIndex + message.entries.length;
    this.#state.advanceCommit(Math.min(message.commitIndex, matchIndex));
    this.#observeFreshness(message);
    this.#state.outbox.sendWhenSynced(leader.name, {
      type: 'appendAccepted',
      ...this.#createAnswerHeader(message),
      matchIndex,
    });
  }

  handleSnapshotChunk(leader: Member, message: SnapshotChunkMessage): void {
    if (message.snapshotIndex <= this.#state.commitIndex) {
      this.#acceptSnapshot(leader.name, message);
      return;
    }
    if (this.#assembly?.matches(message) !== true) {
      this.#assembly = new SnapshotAssembly(message);
    }
    this.#assembly.add(message);
    if (this.#assembly.isComplete) {
      this.#state.installSnapshot(this.#assembly.assemble());
      this.#assembly = undefined;
      this.#acceptSnapshot(leader.name, message);
      return;
    }
    this.#state.outbox.sendWhenSynced(leader.name, {
      type: 'snapshotProgress',
      ...this.#createAnswerHeader(message),
      snapshotIndex: message.snapshotIndex,
      wantedOffset: this.#assembly.wantedOffset,
    });
  }

  /** First index from which the leader must resend; undefined when the message's entries connect to this log. */
  #findGap(message: AppendMessage): number | undefined {
    const { log, commitIndex } = this.#state;
    const { previousIndex, previousTerm } = message;
    if (previousIndex > log.last.index) {
      return log.last.index + 1;
    }
    if (previousIndex <= commitIndex || log.termAt(previousIndex) === previousTerm) {
      return undefined;
    }
    return Math.max(log.findTermStart(previousIndex), commitIndex + 1);
  }

  #appendEntries(message: AppendMessage): void {
    const { log } = this.#state;
    const firstNew = message.entries.findIndex(
      (entry) => entry.index > log.base.index && log.termAt(entry.index) !== entry.term,
    );
    const entries = firstNew === -1 ? [] : message.entries.slice(firstNew);
    const [first] = entries;
    if (first !== undefined) {
      this.#state.saveEntries(first.index - 1, entries);
    }
  }

  /**
   * Freshness is measured from this host's own clock reading, which the leader echoes. A message that was delayed for
   * long therefore does not make old state look fresh.
   */
  #observeFreshness(message: AppendMessage): void {
    const isComparable = message.echo?.incarnation === this.#state.incarnation;
    const isCurrent = message.commitIndex > 0 && this.#state.commitIndex >= message.commitIndex;
    if (isComparable && isCurrent) {
      this.#state.observeFreshness(message.echo.at - message.quorumAge);
    }
  }

  #reject(leader: NodeName, message: AppendMessage, wantedIndex: number): void {
    this.#state.outbox.sendWhenSynced(leader, {
      type: 'appendRejected',
      ...this.#createAnswerHeader(message),
      previousIndex: message.previousIndex,
      wantedIndex,
    });
  }

  #acceptSnapshot(leader: NodeName, message: SnapshotChunkMessage): void {
    this.#state.outbox.sendWhenSynced(leader, {
      type: 'appendAccepted',
      ...this.#createAnswerHeader(message),
      matchIndex: message.snapshotIndex,
    });
  }

  #createAnswerHeader(message: LeaderMessage): AnswerHeader {
    return {
      sender: this.#state.self.storageId,
      recipient: message.sender,
      term: this.#state.term,
      round: message.round,
      sentAt: message.sentAt,
      clock: { incarnation: this.#state.incarnation, at: this.#state.now },
    };
  }
}
