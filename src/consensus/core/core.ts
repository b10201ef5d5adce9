import { createFailure, type Controller, type Milliseconds } from '../../common/index.js';
import type { LeadershipView } from '../replicated-log.js';
import { Elections } from './elections.js';
import type { ConsensusEffect, ConsensusEvent, Proposal, StoredState } from './events.js';
import { FollowerLog } from './follower-log.js';
import { ClusterFormation } from './formation.js';
import { Leadership } from './leadership.js';
import { listMembers, type Member, type Membership, type NodeName } from './membership.js';
import { MembershipChanges } from './membership-changes.js';
import type { AcknowledgementMessage, ConsensusMessage, LeaderMessage } from './messages.js';
import { Reads } from './reads.js';
import type { Role } from './role.js';
import type { CoreSettings } from './settings.js';
import { CoreState } from './state.js';

/** The consensus algorithm (Raft) of one control host, free of I/O: events in, effects out. */
export class ConsensusCore implements Controller<ConsensusEvent, ConsensusEffect> {
  readonly #state: CoreState;
  readonly #elections: Elections;
  readonly #formation: ClusterFormation;
  readonly #followerLog: FollowerLog;
  readonly #leadership: Leadership;
  readonly #reads: Reads;
  readonly #membershipChanges: MembershipChanges;
  #handledRole: Role = 'follower';
  #reportedView: LeadershipView;

  constructor(settings: CoreSettings, stored: StoredState) {
    this.#state = new CoreState(settings, stored);
    this.#elections = new Elections(this.#state);
    this.#formation = new ClusterFormation(this.#state, this.#elections);
    this.#followerLog = new FollowerLog(this.#state);
    this.#leadership = new Leadership(this.#state);
    this.#reads = new Reads(this.#state, this.#leadership);
    this.#membershipChanges = new MembershipChanges(this.#state, this.#leadership);
    this.#reportedView = this.#state.view;
  }

  get view(): LeadershipView {
    return this.#state.view;
  }

  get self(): Member {
    return this.#state.self;
  }

  get membership(): Membership {
    return this.#state.log.membership;
  }

  get lastIndex(): number {
    return this.#state.log.last.index;
  }

  get commitIndex(): number {
    return this.#state.commitIndex;
  }

  /** Members that have not answered this leader for the shortest election timeout; empty on any other host. */
  get silentMembers(): readonly NodeName[] {
    if (this.#state.role !== 'leader') {
      return [];
    }
    const { log, self } = this.#state;
    return listMembers(log.membership)
      .filter((member) => member.storageId !== self.storageId && this.#leadership.isSilent(member))
      .map(({ name }) => name);
  }

  /** Index of the latest snapshot; 0 before the first. */
  get snapshotIndex(): number {
    return this.#state.log.snapshot?.index ?? 0;
  }

  /** Time since this host was last known to be up to date with a leader that had a quorum. */
  staleness(now: Milliseconds): Milliseconds {
    return Math.max(now - this.#state.freshAt, 0);
  }

  handle(event: ConsensusEvent): readonly ConsensusEffect[] {
    this.#state.observeTime(event.now);
    this.#checkLeadership();
    this.#dispatch(event);
    this.#advance();
    return this.#state.outbox.drain();
  }

  #dispatch(event: ConsensusEvent): void {
    switch (event.type) {
      case 'tick':
        this.#tick();
        return;
      case 'received':
        this.#receive({ name: event.from, storageId: event.message.sender }, event.message);
        return;
      case 'persisted':
        this.#state.markSynced(event.write);
        this.#elections.handleSynced();
        return;
      case 'proposed':
        this.#propose(event.proposals);
        return;
      case 'readRequested':
        this.#reads.request(event.readId);
        return;
      case 'membershipRequested':
        this.#membershipChanges.request(event.requestId, event.change);
        return;
      case 'resignRequested':
        if (this.#state.role === 'leader') {
          this.#leadership.resign();
        }
        return;
      case 'snapshotTaken':
        this.#state.compact(event.index, event.data);
        return;
    }
  }

  #tick(): void {
    this.#formation.tick();
    this.#elections.tick();
    if (this.#state.role === 'leader') {
      this.#leadership.tick();
    }
  }

  #propose(proposals: readonly Proposal[]): void {
    if (this.#state.role === 'leader') {
      this.#leadership.propose(proposals);
      return;
    }
    const failure = createFailure('noQuorum', 'this control host is not the leader', 1000);
    this.#leadership.refuse(proposals, failure);
  }

  #receive(from: Member, message: ConsensusMessage): void {
    // A message for an earlier data folder of this host is dropped: that folder's votes and log are lost.
    const { recipient } = message;
    if (recipient !== undefined && recipient !== this.#state.self.storageId) {
      return;
    }
    switch (message.type) {
      case 'preVote':
        this.#elections.answerPreVote(from.name, message);
        return;
      case 'preVoteAnswer':
        this.#elections.countPreVote(message);
        return;
      case 'vote':
        this.#elections.answerVote(from.name, message);
        return;
      case 'voteAnswer':
        this.#elections.countVote(message);
        return;
      case 'append':
      case 'snapshotChunk':
        this.#receiveFromLeader(from, message);
        return;
      case 'appendAccepted':
      case 'appendRejected':
      case 'snapshotProgress':
        this.#receiveAnswer(message);
        return;
      case 'electionInvitation':
        this.#elections.handleInvitation(message);
        return;
      case 'staleTerm':
        this.#elections.observeTerm(message.term);
        return;
      case 'greeting':
        this.#receiveGreeting(from);
        return;
      case 'formationInquiry':
        this.#formation.answerInquiry(from, message);
        return;
      case 'formationBlank':
        this.#formation.handleBlank(from, message);
        return;
      case 'formationQuestion':
        this.#formation.answerQuestion(from, message);
        return;
      case 'formationPromise':
        this.#formation.handlePromise(from, message);
        return;
    }
  }

  #receiveFromLeader(leader: Member, message: LeaderMessage): void {
    if (message.term < this.#state.term) {
      this.#state.outbox.sendWhenSynced(leader.name, {
        type: 'staleTerm',
        sender: this.#state.self.storageId,
        recipient: leader.storageId,
        term: this.#state.term,
      });
      return;
    }
    if (message.term === this.#state.term && this.#state.role === 'leader') {
      throw new Error(`${leader.name} leads term ${message.term} as well`);
    }
    this.#elections.followLeader(message.term, leader);
    switch (message.type) {
      case 'append':
        this.#followerLog.handleAppend(leader, message);
        return;
      case 'snapshotChunk':
        this.#followerLog.handleSnapshotChunk(leader, message);
        return;
    }
  }

  #receiveAnswer(message: AcknowledgementMessage): void {
    this.#elections.observeTerm(message.term);
    if (this.#state.role === 'leader') {
      this.#leadership.handleAnswer(message);
    }
  }

  #receiveGreeting(from: Member): void {
    if (this.#state.role === 'leader') {
      this.#membershipChanges.handleGreeting(from);
    }
  }

  #checkLeadership(): void {
    if (this.#state.role === 'leader' && this.#leadership.hasLostQuorum()) {
      this.#elections.stepDown({ type: 'quorumLost' });
      this.#advance();
    }
  }

  /** Starts or stops the leader's work on a role change, then does what the event has made possible. */
  #advance(): void {
    this.#handleRoleChange();
    if (this.#state.role === 'leader') {
      this.#leadership.advanceCommit();
      this.#reads.confirm();
      this.#membershipChanges.advance();
      this.#stepDownWhenRemoved();
    }
    this.#reportView();
  }

  /** A leader that was removed from the voters stays leader until that change is committed. */
  #stepDownWhenRemoved(): void {
    const { log, self, commitIndex } = this.#state;
    const isVoter = log.membership.voters.some((voter) => voter.storageId === self.storageId);
    if (!isVoter && log.membershipIndex <= commitIndex) {
      this.#elections.stepDown({ type: 'removed' });
      this.#handleRoleChange();
    }
  }

  #handleRoleChange(): void {
    const { role } = this.#state;
    const wasLeader = this.#handledRole === 'leader';
    this.#handledRole = role;
    if (role === 'leader' && !wasLeader) {
      this.#leadership.start();
    }
    if (role !== 'leader' && wasLeader) {
      this.#leadership.stop();
      this.#reads.stop();
      this.#membershipChanges.stop();
    }
  }

  #reportView(): void {
    const { view } = this.#state;
    if (!isSameView(view, this.#reportedView)) {
      this.#reportedView = view;
      this.#state.outbox.emit({ type: 'leadershipChanged', view });
    }
  }
}

function isSameView(left: LeadershipView, right: LeadershipView): boolean {
  const leaderOf = (view: LeadershipView): string =>
    view.type === 'follower' ? view.leader : view.type;
  return left.type === right.type && left.term === right.term && leaderOf(left) === leaderOf(right);
}
