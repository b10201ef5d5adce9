import type { Milliseconds } from '../../common/index.js';
import { countCharacters, type LogEntry } from './entry.js';
import type {
  AppendAcceptedMessage,
  AppendMessage,
  AppendRejectedMessage,
  LeaderMessage,
  SnapshotProgressMessage,
} from './messages.js';
import type { FollowerProgress } from './progress.js';
import type { CoreState } from './state.js';

/** Fields about the current round that every message of a leader carries. */
export interface RoundInfo {
  readonly round: number;
  readonly quorumAge: Milliseconds;
}

/** Replicates the leader's log to its followers. */
export class Replication {
  readonly #state: CoreState;

  constructor(state: CoreState) {
    this.#state = state;
  }

  /** Always sends a message, so that the follower hears the leader and acknowledges this round. */
  sendHeartbeat(follower: FollowerProgress, roundInfo: RoundInfo): void {
    switch (follower.mode.type) {
      case 'probing':
        this.#probe(follower, roundInfo);
        return;
      case 'streaming':
        this.#stream(follower, roundInfo, this.#nextBatch(follower));
        return;
      case 'snapshot':
        this.#sendEmptyAppend(follower, roundInfo);
        this.#resendChunk(follower, roundInfo);
        return;
    }
  }

  /** Sends the entries that the follower lacks, within its window. */
  sendEntries(follower: FollowerProgress, roundInfo: RoundInfo): void {
    if (follower.mode.type === 'probing' && !follower.mode.isOutstanding) {
      this.#probe(follower, roundInfo);
      return;
    }
    if (follower.mode.type !== 'streaming') {
      return;
    }
    for (
      let batch = this.#nextBatch(follower);
      batch.length > 0;
      batch = this.#nextBatch(follower)
    ) {
      this.#stream(follower, roundInfo, batch);
    }
  }

  handleAccepted(
    follower: FollowerProgress,
    message: AppendAcceptedMessage,
    roundInfo: RoundInfo,
  ): void {
    const { mode } = follower;
    if (mode.type === 'snapshot' && message.matchIndex < mode.transfer.snapshot.index) {
      return;
    }
    follower.advanceMatch(message.matchIndex);
    follower.mode = { type: 'streaming' };
    this.sendEntries(follower, roundInfo);
  }

  /** Handles a rejection. One that is not for the latest probe is outdated, and would only cause a duplicate send. */
  handleRejected(
    follower: FollowerProgress,
    message: AppendRejectedMessage,
    roundInfo: RoundInfo,
  ): void {
    const { mode } = follower;
    const isProbeAnswer = message.previousIndex === follower.nextIndex - 1;
    const isLate = message.previousIndex <= follower.matchIndex;
    if (mode.type === 'snapshot' || isLate || (mode.type === 'probing' && !isProbeAnswer)) {
      return;
    }
    const wantedIndex = Math.min(message.wantedIndex, message.previousIndex);
    follower.nextIndex = Math.max(wantedIndex, follower.matchIndex + 1);
    this.#probe(follower, roundInfo);
  }

  handleSnapshotProgress(
    follower: FollowerProgress,
    message: SnapshotProgressMessage,
    roundInfo: RoundInfo,
  ): void {
    const { mode } = follower;
    if (mode.type !== 'snapshot' || mode.transfer.snapshot.index !== message.snapshotIndex) {
      return;
    }
    if (message.wantedOffset === mode.transfer.offset) {
      return;
    }
    this.#sendChunk(follower, roundInfo, message.wantedOffset);
  }

  #needsSnapshot(follower: FollowerProgress): boolean {
    return this.#state.log.termAt(follower.nextIndex - 1) === undefined;
  }

  #stream(follower: FollowerProgress, roundInfo: RoundInfo, batch: readonly LogEntry[]): void {
    if (this.#needsSnapshot(follower)) {
      this.#startSnapshot(follower, roundInfo);
      return;
    }
    this.#sendAppend(follower, roundInfo, batch);
    follower.nextIndex += batch.length;
  }

  #probe(follower: FollowerProgress, roundInfo: RoundInfo): void {
    if (this.#needsSnapshot(follower)) {
      this.#startSnapshot(follower, roundInfo);
      return;
    }
    follower.mode = { type: 'probing', isOutstanding: true };
    this.#sendAppend(follower, roundInfo, this.#nextBatch(follower));
  }

  #startSnapshot(follower: FollowerProgress, roundInfo: RoundInfo): void {
    const { snapshot } = this.#state.log;
    if (snapshot === undefined) {
      return;
    }
    const transfer = { snapshot, offset: 0, sentAt: this.#state.now };
    follower.mode = { type: 'snapshot', transfer };
    this.#sendChunk(follower, roundInfo, 0);
  }

  #resendChunk(follower: FollowerProgress, roundInfo: RoundInfo): void {
    if (follower.mode.type !== 'snapshot') {
      return;
    }
    const { transfer } = follower.mode;
    const silence = this.#state.now - transfer.sentAt;
    if (silence >= this.#state.settings.tuning.heartbeat * 2) {
      this.#sendChunk(follower, roundInfo, transfer.offset);
    }
  }

  #sendChunk(follower: FollowerProgress, roundInfo: RoundInfo, offset: number): void {
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
      ...this.#createLeaderHeader(follower, roundInfo),
      snapshotIndex: snapshot.index,
      snapshotTerm: snapshot.term,
      membership: snapshot.membership,
      offset,
      totalLength: snapshot.data.length,
      data: snapshot.data.slice(offset, end),
    });
  }

  /** Sends a heartbeat without entries and without information about the log. */
  #sendEmptyAppend(follower: FollowerProgress, roundInfo: RoundInfo): void {
    this.#state.outbox.send(follower.member.name, {
      type: 'append',
      ...this.#createLeaderHeader(follower, roundInfo),
      previousIndex: 0,
      previousTerm: 0,
      entries: [],
      commitIndex: 0,
    });
  }

  #sendAppend(
    follower: FollowerProgress,
    roundInfo: RoundInfo,
    entries: readonly LogEntry[],
  ): void {
    const previousIndex = follower.nextIndex - 1;
    const message: AppendMessage = {
      type: 'append',
      ...this.#createLeaderHeader(follower, roundInfo),
      previousIndex,
      previousTerm: this.#state.log.termAt(previousIndex) ?? 0,
      entries,
      commitIndex: this.#state.commitIndex,
    };
    this.#state.outbox.send(follower.member.name, message);
  }

  /** Entries for the next message; empty if the follower has them all, its window is full, or it needs a snapshot. */
  #nextBatch(follower: FollowerProgress): readonly LogEntry[] {
    if (this.#needsSnapshot(follower)) {
      return [];
    }
    const { batchEntries, batchCharacters, windowEntries, windowCharacters } =
      this.#state.settings.tuning;
    const windowEnd = follower.matchIndex + windowEntries;
    const from = follower.nextIndex;
    const isStreaming = follower.mode.type === 'streaming';
    const through = Math.min(from + batchEntries - 1, isStreaming ? windowEnd : Infinity);
    const unacknowledged = isStreaming
      ? sumCharacters(this.#state.log.slice(follower.matchIndex + 1, from - 1))
      : 0;
    const windowLeft = windowCharacters - unacknowledged;
    const entries = this.#state.log.slice(from, through);
    let characters = 0;
    const tooMany = entries.findIndex((entry, position) => {
      characters += countCharacters(entry);
      // An entry that is larger than a limit is sent by itself.
      return position === 0
        ? unacknowledged > 0 && characters > windowLeft
        : characters > Math.min(batchCharacters, windowLeft);
    });
    return tooMany === -1 ? entries : entries.slice(0, tooMany);
  }

  #createLeaderHeader(
    follower: FollowerProgress,
    roundInfo: RoundInfo,
  ): Omit<LeaderMessage, 'type'> {
    const { self, term, now } = this.#state;
    const header = {
      sender: self.storageId,
      recipient: follower.member.storageId,
      term,
      round: roundInfo.round,
      sentAt: now,
      quorumAge: roundInfo.quorumAge,
    };
    // Before its first commit a leader may not know the latest commits, so it cannot tell whether a follower is up to date.
    const isInformed = this.#state.hasCommittedInTerm;
    return follower.clock !== undefined && isInformed
      ? { ...header, echo: follower.clock }
      : header;
  }
}

function sumCharacters(entries: readonly LogEntry[]): number {
  return entries.reduce((sum, entry) => sum + countCharacters(entry), 0);
}
