import type { Milliseconds } from '../../common/index.js';
import { isUpToDate } from './entry.js';
import { isQuorum, isVoter, type Member, type NodeName, type StorageId } from './membership.js';
import type {
  ElectionInvitationMessage,
  PreVoteAnswerMessage,
  PreVoteMessage,
  VoteAnswerMessage,
  VoteMessage,
} from './messages.js';
import type { RoleEvent } from './role.js';
import type { CoreState } from './state.js';

/** Elects a leader: at most one per term, and only a host whose log holds every committed entry. */
export class Elections {
  readonly #state: CoreState;
  readonly #grants = new Set<StorageId>();
  /** When to start an election unless a leader is heard first; undefined until the first tick. */
  #deadline: Milliseconds | undefined;
  #heardLeaderAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Number of the write that persists this candidate's vote for itself. */
  #ownVoteWrite = 0;

  constructor(state: CoreState) {
    this.#state = state;
  }

  tick(): void {
    if (this.#state.role === 'leader') {
      return;
    }
    if (this.#deadline === undefined) {
      this.#armDeadline();
    }
    if (this.#state.now < (this.#deadline ?? 0)) {
      return;
    }
    this.#armDeadline();
    this.#state.setLeader(undefined);
    this.#askForPreVotes();
  }

  /** Starts an election at the next tick. Used by the host that just created the first membership. */
  startSoon(): void {
    this.#deadline = this.#state.now;
  }

  /** Handles a valid message from the leader of `term`. */
  followLeader(term: number, leader: Member): void {
    if (term > this.#state.term) {
      this.#state.saveHardState(term, undefined);
    }
    if (this.#state.role !== 'follower') {
      this.#state.stepRole({ type: 'superseded' });
    }
    this.#state.setLeader(leader);
    this.#heardLeaderAt = this.#state.now;
    this.#armDeadline();
  }

  observeTerm(term: number): void {
    if (term <= this.#state.term) {
      return;
    }
    this.#state.saveHardState(term, undefined);
    this.stepDown({ type: 'superseded' });
  }

  stepDown(event: RoleEvent): void {
    const wasFollower = this.#state.role === 'follower';
    this.#state.stepRole(event);
    if (!wasFollower) {
      this.#state.setLeader(undefined);
      this.#armDeadline();
    }
  }

  answerPreVote(from: NodeName, message: PreVoteMessage): void {
    const { term } = this.#state;
    const isGranted = message.term > term && !this.#hasLeader() && this.#isLogUpToDate(message);
    this.#state.outbox.sendWhenSynced(from, {
      type: 'preVoteAnswer',
      sender: this.#state.self.storageId,
      recipient: message.sender,
      term,
      proposedTerm: message.term,
      isGranted,
    });
  }

  /**
   * While a leader is heard, vote requests of a higher term are ignored. Otherwise a host that rejoins with a high term
   * after a network partition could depose a leader that still serves all other hosts.
   */
  answerVote(from: NodeName, message: VoteMessage): void {
    const isDisruptive = this.#hasLeader() && !message.isInvited;
    if (message.term > this.#state.term && isDisruptive) {
      return;
    }
    this.observeTerm(message.term);
    const isGranted = this.#canVoteFor(message);
    if (isGranted) {
      this.#voteFor(message.sender);
    }
    this.#state.outbox.sendWhenSynced(from, {
      type: 'voteAnswer',
      sender: this.#state.self.storageId,
      recipient: message.sender,
      term: this.#state.term,
      isGranted,
    });
  }

  /** Starts an election at the request of a leader that is about to stop, without waiting for the election timeout. */
  handleInvitation(message: ElectionInvitationMessage): void {
    const { log, self, term, role } = this.#state;
    const isInvited = message.term === term && role === 'follower';
    if (isInvited && isVoter(log.membership, self.storageId)) {
      this.#state.stepRole({ type: 'invited' });
      this.#askForVotes(true);
    }
  }

  countPreVote(message: PreVoteAnswerMessage): void {
    this.observeTerm(message.term);
    const isForThisElection = message.proposedTerm === this.#state.term + 1;
    if (this.#state.role !== 'preCandidate' || !message.isGranted || !isForThisElection) {
      return;
    }
    this.#grants.add(message.sender);
    this.#countPreVotes();
  }

  countVote(message: VoteAnswerMessage): void {
    this.observeTerm(message.term);
    const isForThisElection = message.term === this.#state.term;
    if (this.#state.role !== 'candidate' || !message.isGranted || !isForThisElection) {
      return;
    }
    this.#grants.add(message.sender);
    this.#countVotes();
  }

  /** Counts this candidate's own vote once it is synced, as for any other vote. */
  handleSynced(): void {
    const isReady = this.#state.outbox.isSynced(this.#ownVoteWrite);
    if (this.#state.role !== 'candidate' || !isReady) {
      return;
    }
    this.#grants.add(this.#state.self.storageId);
    this.#countVotes();
  }

  #askForPreVotes(): void {
    const { log, self } = this.#state;
    if (!isVoter(log.membership, self.storageId)) {
      this.stepDown({ type: 'removed' });
      return;
    }
    this.#state.stepRole({ type: 'electionTimeout' });
    this.#grants.clear();
    this.#grants.add(self.storageId);
    for (const voter of this.#listOtherVoters()) {
      const message = {
        type: 'preVote',
        ...this.#createCandidacy(voter, this.#state.term + 1),
      } as const;
      this.#state.outbox.sendWhenSynced(voter.name, message);
    }
    this.#countPreVotes();
  }

  #countPreVotes(): void {
    if (!isQuorum(this.#state.log.membership, this.#grants)) {
      return;
    }
    this.#state.stepRole({ type: 'preVoteWon' });
    this.#askForVotes(false);
  }

  #askForVotes(isInvited: boolean): void {
    this.#state.saveHardState(this.#state.term + 1, this.#state.self.storageId);
    this.#ownVoteWrite = this.#state.outbox.lastWrite;
    this.#grants.clear();
    this.#armDeadline();
    for (const voter of this.#listOtherVoters()) {
      const candidacy = this.#createCandidacy(voter, this.#state.term);
      const message = { type: 'vote', ...candidacy, isInvited } as const;
      this.#state.outbox.sendWhenSynced(voter.name, message);
    }
  }

  #countVotes(): void {
    if (!isQuorum(this.#state.log.membership, this.#grants)) {
      return;
    }
    this.#state.stepRole({ type: 'voteWon' });
    this.#state.setLeader(this.#state.self);
  }

  #canVoteFor(message: VoteMessage): boolean {
    const { term, votedFor } = this.#state;
    const isFree = votedFor === undefined || votedFor === message.sender;
    return message.term === term && isFree && this.#isLogUpToDate(message);
  }

  #voteFor(candidate: StorageId): void {
    this.#armDeadline();
    if (this.#state.votedFor !== candidate) {
      this.#state.saveHardState(this.#state.term, candidate);
    }
  }

  #isLogUpToDate(message: PreVoteMessage | VoteMessage): boolean {
    const candidate = { index: message.lastIndex, term: message.lastTerm };
    return isUpToDate(candidate, this.#state.log.last);
  }

  #hasLeader(): boolean {
    if (this.#state.role === 'leader') {
      return true;
    }
    const silence = this.#state.now - this.#heardLeaderAt;
    return silence < this.#state.settings.tuning.electionTimeoutMinimum;
  }

  #listOtherVoters(): readonly Member[] {
    const { log, self } = this.#state;
    return log.membership.voters.filter((voter) => voter.storageId !== self.storageId);
  }

  #createCandidacy(voter: Member, term: number): Omit<PreVoteMessage, 'type'> {
    const { log, self } = this.#state;
    return {
      sender: self.storageId,
      recipient: voter.storageId,
      term,
      lastIndex: log.last.index,
      lastTerm: log.last.term,
    };
  }

  /**
   * A host that has not heard a leader since it started uses a shorter election timeout. If all control hosts were
   * restarted, there is no leader to wait for; if there is a leader, the other hosts refuse the pre-vote.
   */
  get #timeoutFraction(): number {
    const hasHeardLeader = this.#heardLeaderAt !== Number.NEGATIVE_INFINITY;
    return hasHeardLeader ? 1 : this.#state.settings.tuning.firstElectionTimeoutFraction;
  }

  #armDeadline(): void {
    const { electionTimeoutMinimum, electionTimeoutMaximum } = this.#state.settings.tuning;
    const range = Math.max(electionTimeoutMaximum - electionTimeoutMinimum, 1);
    const timeout = electionTimeoutMinimum + this.#state.settings.random.integerBelow(range);
    this.#deadline = this.#state.now + timeout * this.#timeoutFraction;
  }
}
