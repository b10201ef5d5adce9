import { createFailure, type Failure, type Milliseconds } from '../../common/index.js';
import type { Proposal } from './events.js';
import type { EntryPayload, LogEntry } from './entry.js';
import { findQuorumValue, listMembers, type Member, type StorageId } from './membership.js';
import type { AcknowledgementMessage } from './messages.js';
import { FollowerProgress } from './progress.js';
import { Replication, type RoundInfo } from './replication.js';
import type { CoreState } from './state.js';

/** The leader's work: heartbeat rounds, proposals, commits and leadership transfer, and the check for a lost quorum. */
export class Leadership {
  readonly #state: CoreState;
  readonly #replication: Replication;
  readonly #followers = new Map<StorageId, FollowerProgress>();
  #round = 0;
  #lastBroadcastAt: Milliseconds = 0;
  #startIndex = 0;
  /** A resigning leader accepts no proposals, so that a follower can catch up with the whole log. */
  #isResigning = false;
  /** Commit index that the latest broadcast carried. */
  #broadcastCommitIndex = 0;

  constructor(state: CoreState) {
    this.#state = state;
    this.#replication = new Replication(state);
  }

  /** Index of this leader's first entry. Every entry committed before its election has a lower index. */
  get startIndex(): number {
    return this.#startIndex;
  }

  /** The latest round that a quorum of the voters has acknowledged. */
  get confirmedRound(): number {
    return this.#findQuorumValue(Infinity, (follower) => follower.round);
  }

  /** Latest time at which this leader is known to have had a quorum. */
  get quorumConfirmedAt(): Milliseconds {
    return this.#findQuorumValue(this.#state.now, (follower) => follower.acknowledgedAt);
  }

  start(): void {
    this.#followers.clear();
    this.#round = 0;
    this.#isResigning = false;
    this.#startIndex = this.#state.log.last.index + 1;
    this.#appendPayloads([{ type: 'leaderStart' }]);
    this.broadcast();
  }

  /** Transfers the leadership to the first voter that has the whole log. */
  resign(): void {
    this.#isResigning = true;
    this.#inviteSuccessor();
  }

  stop(): void {
    this.#followers.clear();
    this.#state.proposals.failAll().forEach((effect) => {
      this.#state.outbox.emit(effect);
    });
  }

  /**
   * Whether no quorum has answered for the shortest election timeout, so that another leader may have been elected.
   * Checked before an event is handled: a process that was suspended, or a host that was partitioned, would otherwise
   * continue as leader and serve stale state as fresh.
   */
  hasLostQuorum(): boolean {
    const silence = this.#state.now - this.quorumConfirmedAt;
    return silence >= this.#state.settings.tuning.electionTimeoutMinimum;
  }

  /** Broadcasts when a heartbeat is due or the commit index has advanced; followers also learn of commits with new entries. */
  tick(): void {
    const isDue = this.#state.now - this.#lastBroadcastAt >= this.#state.settings.tuning.heartbeat;
    if (isDue || this.#state.commitIndex > this.#broadcastCommitIndex) {
      this.broadcast();
    }
  }

  /** Starts a round: sends every follower a heartbeat with the entries that it lacks. Returns the round's number. */
  broadcast(): number {
    this.#round += 1;
    this.#lastBroadcastAt = this.#state.now;
    this.#broadcastCommitIndex = this.#state.commitIndex;
    this.#updateFollowers();
    const roundInfo = this.#createRoundInfo();
    for (const follower of this.#followers.values()) {
      this.#replication.sendHeartbeat(follower, roundInfo);
    }
    return this.#round;
  }

  /** Appends proposals to the log; those beyond the limit are refused. */
  propose(proposals: readonly Proposal[]): void {
    const limit = this.#isResigning ? 0 : this.#state.settings.tuning.pendingProposals;
    const room = limit - this.#state.proposals.size;
    const accepted = proposals.slice(0, Math.max(room, 0));
    const entries = this.#appendPayloads(
      accepted.map(({ command }) => ({ type: 'command', command })),
    );
    entries.forEach((entry, position) => {
      const proposal = accepted[position];
      if (proposal !== undefined) {
        this.#state.proposals.add(entry, proposal.proposalId);
      }
    });
    this.refuse(
      proposals.slice(accepted.length),
      createFailure('noQuorum', 'this leader takes no more changes now', 1000),
    );
    this.sendEntries();
  }

  /** Refuses proposals that were not appended to the log. */
  refuse(proposals: readonly Proposal[], failure: Failure): void {
    for (const { proposalId } of proposals) {
      this.#state.outbox.emit({ type: 'proposalFailed', proposalId, failure });
    }
  }

  /** Appends an entry that is not a proposal; it is sent with the next broadcast or batch. */
  append(payload: EntryPayload): LogEntry | undefined {
    return this.#appendPayloads([payload])[0];
  }

  /** Sends each follower the entries that it lacks. */
  sendEntries(): void {
    this.#updateFollowers();
    const roundInfo = this.#createRoundInfo();
    for (const follower of this.#followers.values()) {
      this.#replication.sendEntries(follower, roundInfo);
    }
  }

  handleAnswer(message: AcknowledgementMessage): void {
    const follower = this.#followers.get(message.sender);
    if (follower === undefined || message.term !== this.#state.term) {
      return;
    }
    follower.acknowledge(message);
    const roundInfo = this.#createRoundInfo();
    switch (message.type) {
      case 'appendAccepted':
        this.#replication.handleAccepted(follower, message, roundInfo);
        this.advanceCommit();
        this.#inviteSuccessor();
        return;
      case 'appendRejected':
        this.#replication.handleRejected(follower, message, roundInfo);
        return;
      case 'snapshotProgress':
        this.#replication.handleSnapshotProgress(follower, message, roundInfo);
        return;
    }
  }

  /** Commits the entries that a quorum has synced, once these include an entry of the current term. */
  advanceCommit(): void {
    const index = this.#findQuorumValue(this.#state.syncedIndex, (follower) => follower.matchIndex);
    if (this.#state.log.termAt(index) === this.#state.term) {
      this.#state.advanceCommit(index);
    }
    if (this.#state.hasCommittedInTerm) {
      this.#state.observeFreshness(this.quorumConfirmedAt);
    }
  }

  /** Whether a member has synced all committed entries and this leader's first entry, and has answered recently. */
  isCaughtUp(member: Member): boolean {
    const follower = this.#followers.get(member.storageId);
    return (
      follower !== undefined &&
      follower.matchIndex >= this.#state.commitIndex &&
      follower.matchIndex >= this.#startIndex &&
      !this.isSilent(member)
    );
  }

  /** Whether a member has not answered for the shortest election timeout. */
  isSilent(member: Member): boolean {
    const follower = this.#followers.get(member.storageId);
    const silence = this.#state.now - (follower?.acknowledgedAt ?? this.#state.now);
    return silence >= this.#state.settings.tuning.electionTimeoutMinimum;
  }

  #inviteSuccessor(): void {
    const { log, self, term, outbox } = this.#state;
    const successor = log.membership.voters.find((voter) => {
      const matchIndex = this.#followers.get(voter.storageId)?.matchIndex ?? 0;
      return matchIndex === log.last.index && !this.isSilent(voter);
    });
    if (this.#isResigning && successor !== undefined) {
      const { name, storageId } = successor;
      const message = { sender: self.storageId, recipient: storageId, term };
      outbox.send(name, { type: 'electionInvitation', ...message });
    }
  }

  #appendPayloads(payloads: readonly EntryPayload[]): readonly LogEntry[] {
    const { index } = this.#state.log.last;
    const entries = payloads.map((payload, position): LogEntry => {
      return { index: index + 1 + position, term: this.#state.term, payload };
    });
    if (entries.length > 0) {
      this.#state.saveEntries(index, entries);
    }
    return entries;
  }

  #createRoundInfo(): RoundInfo {
    return { round: this.#round, quorumAge: this.#state.now - this.quorumConfirmedAt };
  }

  /** Brings the tracked followers in line with the membership: all members except this host. */
  #updateFollowers(): void {
    const members = listMembers(this.#state.log.membership);
    const storageIds = new Set(members.map((member) => member.storageId));
    for (const storageId of this.#followers.keys()) {
      if (!storageIds.has(storageId)) {
        this.#followers.delete(storageId);
      }
    }
    for (const member of members) {
      const isKnown = this.#followers.has(member.storageId);
      if (!isKnown && member.storageId !== this.#state.self.storageId) {
        const follower = new FollowerProgress(member, this.#startIndex, this.#state.now);
        this.#followers.set(member.storageId, follower);
      }
    }
  }

  #findQuorumValue(own: number, valueOf: (follower: FollowerProgress) => number): number {
    const { log, self } = this.#state;
    const value = findQuorumValue(log.membership, (voter) => {
      const follower = this.#followers.get(voter.storageId);
      return voter.storageId === self.storageId
        ? own
        : follower === undefined
          ? 0
          : valueOf(follower);
    });
    return value ?? 0;
  }
}
