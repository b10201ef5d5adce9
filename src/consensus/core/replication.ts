import type { Milliseconds } from '../../common/index.js';
import type { LogEntry } from './entry.js';
import type {
  AppendAcceptedMessage,
  AppendMessage,
  AppendRejectedMessage,
  LeaderMessage,
  SnapshotProgressMessage,
} from './messages.js';
import type { FollowerProgress } from './progress.js';
import type { CoreState } from './state.js';

/** What every message of a leader says of its round. */
export interface RoundStamp {
  readonly round: number;
  readonly quorumAge: Milliseconds;
}

/** Brings one follower's log to the leader's. */
export class Replication {
  readonly #state: CoreState;

  constructor(state: CoreState) {
    this.#state = state;
  }

  /** Sends something in any case, so that the follower hears the leader and answers this round. */
  sendHeartbeat(follower: FollowerProgress, stamp: RoundStamp): void {
    switch (follower.mode.type) {
      case 'probing':
        this.#probe(follower, stamp);
        return;
      case 'streaming':
        this.#stream(follower, stamp, this.#takeBatch(follower));
        return;
      case 'snapshot':
        this.#sendBareHeartbeat(follower, stamp);
        this.#resendChunk(follower, stamp);
        return;
    }
  }

  /** Sends the entries that the follower lacks, as far as its window allows. */
  sendEntries(follower: FollowerProgress, stamp: RoundStamp): void {
    if (follower.mode.type === 'probing' && !follower.mode.isOutstanding) {
      this.#probe(follower, stamp);
      return;
    }
    if (follower.mode.type !== 'streaming') {
      return;
    }
    for (
      let batch = this.#takeBatch(follower);
      batch.length > 0;
      batch = this.#takeBatch(follower)
    ) {
      this.#stream(follower, stamp, batch);
    }
  }

  handleAccepted(
    follower: FollowerProgress,
    message: AppendAcceptedMessage,
    stamp: RoundStamp,
  ): void {
    const { mode } = follower;
    if (mode.type === 'snapshot' && message.matchIndex < mode.transfer.snapshot.index) {
      return;
    }
    follower.advanceMatch(message.matchIndex);
    follower.mode = { type: 'streaming' };
    this.sendEntries(follower, stamp);
  }

  /** A rejection of anything but the newest probe is late and would only make the leader send twice. */
  handleRejected(
    follower: FollowerProgress,
    message: AppendRejectedMessage,
    stamp: RoundStamp,
  ): void {
    const { mode } = follower;
    const isProbeAnswer = message.previousIndex === follower.nextIndex - 1;
    const isLate = message.previousIndex <= follower.matchIndex;
    if (mode.type === 'snapshot' || isLate || (mode.type === 'probing' && !isProbeAnswer)) {
      return;
    }
    const wantedIndex = Math.min(message.wantedIndex, message.previousIndex);
    follower.nextIndex = Math.max(wantedIndex, follower.matchIndex + 1);
    this.#probe(follower, stamp);
  }

  handleSnapshotProgress(
    follower: FollowerProgress,
    message: SnapshotProgressMessage,
    stamp: RoundStamp,
  ): void {
    const { mode } = follower;
    if (mode.type !== 'snapshot' || mode.transfer.snapshot.index !== message.snapshotIndex) {
      return;
    }
    if (message.wantedOffset === mode.transfer.offset) {
      return;
    }
    this.#sendChunk(follower, stamp, message.wantedOffset);
  }

  #needsSnapshot(follower: FollowerProgress): boolean {
    return this.#state.log.termAt(follower.nextIndex - 1) === undefined;
  }

  #stream(follower: FollowerProgress, stamp: RoundStamp, batch: readonly LogEntry[]): void {
    if (this.#needsSnapshot(follower)) {
      this.#startSnapshot(follower, stamp);
      return;
    }
    this.#sendAppend(follower, stamp, batch);
    follower.nextIndex += batch.length;
  }

  #probe(follower: FollowerProgress, stamp: RoundStamp): void {
    if (this.#needsSnapshot(follower)) {
      this.#startSnapshot(follower, stamp);
      return;
    }
    follower.mode = { type: 'probing', isOutstanding: true };
    this.#sendAppend(follower, stamp, this.#takeBatch(follower));
  }

  #startSnapshot(follower: FollowerProgress, stamp: RoundStamp): void {
    const { snapshot } = this.#state.log;
    if (snapshot === undefined) {
      return;
    }
    const transfer = { snapshot, offset: 0, sentAt: this.#state.now };
    follower.mode = { type: 'snapshot', transfer };
    this.#sendChunk(follower, stamp, 0);
  }

  #resendChunk(follower: FollowerProgress, stamp: RoundStamp): void {
    if (follower.mode.type !== 'snapshot') {
      return;
    }
    const { transfer } = follower.mode;
    const silence = this.#state.now - transfer.sentAt;
    if (silence >= this.#state.settings.tuning.heartbeat * 2) {
      this.#sendChunk(follower, stamp, transfer.offset);
    }
  }

  #sendChunk(follower: FollowerProgress, stamp: RoundStamp, offset: number): void {
    if (follower.mode.type !== 'snapshot') {
      return;
    }
    const { snapshot } = follower.mode.transfer;
    const end = offset + this.#state.settings.tuning.snapshotChunkCharacters;
    follower.mode = {
      type: 'snapshot',
      transfer: { snapshot, offset, sentAt: this.#state.now },
    };
    this.#state.outbox.send(follower.member.name, {
      type: 'snapshotChunk',
      ...this.#describe(follower, stamp),
      snapshotIndex: snapshot.index,
      snapshotTerm: snapshot.term,
      membership: snapshot.membership,
      offset,
      totalLength: snapshot.data.length,
      data: snapshot.data.slice(offset, end),
    });
  }

  /** Says that the leader is there, and nothing about the log. */
  #sendBareHeartbeat(follower: FollowerProgress, stamp: RoundStamp): void {
    this.#state.outbox.send(follower.member.name, {
      type: 'append',
      ...this.#describe(follower, stamp),
      previousIndex: 0,
      previousTerm: 0,
      entries: [],
      commitIndex: 0,
    });
  }

  #sendAppend(follower: FollowerProgress, stamp: RoundStamp, entries: readonly LogEntry[]): void {
    const previousIndex = follower.nextIndex - 1;
    const message: AppendMessage = {
      type: 'append',
      ...this.#describe(follower, stamp),
      previousIndex,
      previousTerm: this.#state.log.termAt(previousIndex) ?? 0,
      entries,
      commitIndex: this.#state.commitIndex,
    };
    this.#state.outbox.send(follower.member.name, message);
  }

  /** Entries for the next message; none when the follower has them all, waits, or needs a snapshot. */
  #takeBatch(follower: FollowerProgress): readonly LogEntry[] {
    if (this.#needsSnapshot(follower)) {
      return [];
    }
    const { batchEntries, batchCharacters, windowEntries } = this.#state.settings.tuning;
    const windowEnd = follower.matchIndex + windowEntries;
    const from = follower.nextIndex;
    const isStreaming = follower.mode.type === 'streaming';
    const through = Math.min(from + batchEntries - 1, isStreaming ? windowEnd : Infinity);
    const entries = this.#state.log.slice(from, through);
    let characters = 0;
    const tooMany = entries.findIndex((entry, position) => {
      characters += entry.payload.type === 'command' ? entry.payload.command.length : 0;
      return position > 0 && characters > batchCharacters;
    });
    return tooMany === -1 ? entries : entries.slice(0, tooMany);
  }

  #describe(follower: FollowerProgress, stamp: RoundStamp): Omit<LeaderMessage, 'type'> {
    const { self, term, now } = this.#state;
    const header = {
      sender: self.storageId,
      recipient: follower.member.storageId,
      term,
      round: stamp.round,
      sentAt: now,
      quorumAge: stamp.quorumAge,
    };
    // Before its first commit a leader may not know of the newest commits, and cannot vouch that a follower does.
    const isInformed = this.#state.hasCommittedInTerm;
    return follower.clock !== undefined && isInformed
      ? { ...header, echo: follower.clock }
      : header;
  }
}
