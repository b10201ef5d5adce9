import { createFailure, type Failure, type Milliseconds } from '../../common/index.js';
import type { Proposal } from './events.js';
import type { EntryPayload, LogEntry } from './entry.js';
import { findQuorumValue, listMembers, type Member, type StorageId } from './membership.js';
import type { AcknowledgementMessage } from './messages.js';
import { FollowerProgress } from './progress.js';
import { Replication, type RoundStamp } from './replication.js';
import type { CoreState } from './state.js';

/** What a leader does: rounds, proposals, commits, and stepping down when it may be leader no more. */
export class Leadership {
  readonly #state: CoreState;
  readonly #replication: Replication;
  readonly #followers = new Map<StorageId, FollowerProgress>();
  #round = 0;
  #broadcastAt: Milliseconds = 0;
  #startIndex = 0;
  /** While it resigns, a leader takes no proposals, so that a follower can have the whole log. */
  #isResigning = false;
  /** Commit index of the newest broadcast. */
  #announcedCommit = 0;

  constructor(state: CoreState) {
    this.#state = state;
    this.#replication = new Replication(state);
  }

  /** Index of this leader's first entry: every entry committed before its election is below it. */
  get startIndex(): number {
    return this.#startIndex;
  }

  /** The newest round that a quorum of the voters answered. */
  get confirmedRound(): number {
    return this.#findQuorumValue(Infinity, (follower) => follower.round);
  }

  /** When this leader last knew that it had a quorum. */
  get quorumAt(): Milliseconds {
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

  /** Hands the leadership to the voter that has most of the log, as soon as it has all of it. */
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
   * Whether a quorum has been silent for as long as it needs to elect another leader.
   * Called before anything else is done with an event: a process that was frozen (or a host that was cut off) goes on as
   * if it were still leader, and would give old state as fresh.
   */
  hasLostQuorum(): boolean {
    const silence = this.#state.now - this.quorumAt;
    return silence >= this.#state.settings.tuning.electionMinimum;
  }

  /** Followers learn of commits with the next entries, with the next tick, or with a heartbeat. */
  tick(): void {
    const isDue = this.#state.now - this.#broadcastAt >= this.#state.settings.tuning.heartbeat;
    if (isDue || this.#state.commitIndex > this.#announcedCommit) {
      this.broadcast();
    }
  }

  /** Begins a round: every follower hears the leader, and is sent what it lacks. Returns its number. */
  broadcast(): number {
    this.#round += 1;
    this.#broadcastAt = this.#state.now;
    this.#announcedCommit = this.#state.commitIndex;
    this.#updateFollowers();
    const stamp = this.#stamp();
    for (const follower of this.#followers.values()) {
      this.#replication.sendHeartbeat(follower, stamp);
    }
    return this.#round;
  }

  /** Takes proposals into the log. */
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

  /** Refuses proposals that never entered the log. */
  refuse(proposals: readonly Proposal[], failure: Failure): void {
    for (const { proposalId } of proposals) {
      this.#state.outbox.emit({ type: 'proposalFailed', proposalId, failure });
    }
  }

  /** Appends an entry that is no proposal; it is sent with the next broadcast or batch. */
  append(payload: EntryPayload): LogEntry | undefined {
    return this.#appendPayloads([payload])[0];
  }

  /** Sends each follower what it lacks. */
  sendEntries(): void {
    this.#updateFollowers();
    const stamp = this.#stamp();
    for (const follower of this.#followers.values()) {
      this.#replication.sendEntries(follower, stamp);
    }
  }

  handleAnswer(message: AcknowledgementMessage): void {
    const follower = this.#followers.get(message.sender);
    if (follower === undefined || message.term !== this.#state.term) {
      return;
    }
    follower.acknowledge(message);
    const stamp = this.#stamp();
    switch (message.type) {
      case 'appendAccepted':
        this.#replication.handleAccepted(follower, message, stamp);
        this.advanceCommit();
        this.#inviteSuccessor();
        return;
      case 'appendRejected':
        this.#replication.handleRejected(follower, message, stamp);
        return;
      case 'snapshotProgress':
        this.#replication.handleSnapshotProgress(follower, message, stamp);
        return;
    }
  }

  /** Commits what a quorum has synced, once that includes an entry of this term. */
  advanceCommit(): void {
    const index = this.#findQuorumValue(this.#state.syncedIndex, (follower) => follower.matchIndex);
    if (this.#state.log.termAt(index) === this.#state.term) {
      this.#state.advanceCommit(index);
    }
    if (this.#state.hasCommittedInTerm) {
      this.#state.observeFreshness(this.quorumAt);
    }
  }

  /** Whether a member has synced nearly all of the log and answered lately. */
  isCaughtUp(member: Member): boolean {
    const follower = this.#followers.get(member.storageId);
    return (
      follower !== undefined &&
      follower.matchIndex >= this.#state.commitIndex &&
      follower.matchIndex >= this.#startIndex &&
      !this.isSilent(member)
    );
  }

  /** Whether a member has not answered for as long as an election takes. */
  isSilent(member: Member): boolean {
    const follower = this.#followers.get(member.storageId);
    const silence = this.#state.now - (follower?.acknowledgedAt ?? this.#state.now);
    return silence >= this.#state.settings.tuning.electionMinimum;
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

  #stamp(): RoundStamp {
    return { round: this.#round, quorumAge: this.#state.now - this.quorumAt };
  }

  /** Follows the membership: its members but this host are sent the log. */
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
