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

/** Elects a leader: at most one a term, and only one that holds every committed entry. */
export class Elections {
  readonly #state: CoreState;
  readonly #grants = new Set<StorageId>();
  /** When to ask for votes unless a leader is heard; undefined until the first reading of the clock. */
  #deadline: Milliseconds | undefined;
  #heardLeaderAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Number of the write that holds this candidate's vote for itself. */
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

  /** Asks for votes at the next tick; for the host that just formed the first membership. */
  hasten(): void {
    this.#deadline = this.#state.now;
  }

  /** A valid message of the leader of `term` came. */
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
    const isGranted = message.term > term && !this.#hasLeader() && this.#isCurrent(message);
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
   * While a leader is heard, a vote of a higher term is not even noticed: a host that was cut off and comes back with a
   * high term would otherwise depose a leader that serves everybody else.
   */
  answerVote(from: NodeName, message: VoteMessage): void {
    const isUnwanted = this.#hasLeader() && !message.isInvited;
    if (message.term > this.#state.term && isUnwanted) {
      return;
    }
    this.observeTerm(message.term);
    const isGranted = this.#mayVoteFor(message);
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

  /** Takes the place of a leader that is about to stop, without waiting for its silence. */
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
    const isForThis = message.proposedTerm === this.#state.term + 1;
    if (this.#state.role !== 'preCandidate' || !message.isGranted || !isForThis) {
      return;
    }
    this.#grants.add(message.sender);
    this.#countPreVotes();
  }

  countVote(message: VoteAnswerMessage): void {
    this.observeTerm(message.term);
    const isForThis = message.term === this.#state.term;
    if (this.#state.role !== 'candidate' || !message.isGranted || !isForThis) {
      return;
    }
    this.#grants.add(message.sender);
    this.#countVotes();
  }

  /** Counts this candidate's own vote, once it is synced like any other. */
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
      const message = { type: 'preVote', ...this.#describe(voter, this.#state.term + 1) } as const;
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
      const candidacy = this.#describe(voter, this.#state.term);
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

  #mayVoteFor(message: VoteMessage): boolean {
    const { term, votedFor } = this.#state;
    const isFree = votedFor === undefined || votedFor === message.sender;
    return message.term === term && isFree && this.#isCurrent(message);
  }

  #voteFor(candidate: StorageId): void {
    this.#armDeadline();
    if (this.#state.votedFor !== candidate) {
      this.#state.saveHardState(this.#state.term, candidate);
    }
  }

  #isCurrent(message: PreVoteMessage | VoteMessage): boolean {
    const candidate = { index: message.lastIndex, term: message.lastTerm };
    return isUpToDate(candidate, this.#state.log.last);
  }

  #hasLeader(): boolean {
    if (this.#state.role === 'leader') {
      return true;
    }
    const silence = this.#state.now - this.#heardLeaderAt;
    return silence < this.#state.settings.tuning.electionMinimum;
  }

  #listOtherVoters(): readonly Member[] {
    const { log, self } = this.#state;
    return log.membership.voters.filter((voter) => voter.storageId !== self.storageId);
  }

  #describe(voter: Member, term: number): Omit<PreVoteMessage, 'type'> {
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
   * A host that has just started has no leader to be patient with: where all control hosts were started anew, nobody leads, and
   * where one leads, the others refuse the pre-vote.
   */
  get #waitShare(): number {
    const hasHeardLeader = this.#heardLeaderAt !== Number.NEGATIVE_INFINITY;
    return hasHeardLeader ? 1 : this.#state.settings.tuning.firstElectionShare;
  }

  #armDeadline(): void {
    const { electionMinimum, electionMaximum } = this.#state.settings.tuning;
    const spread = Math.max(electionMaximum - electionMinimum, 1);
    const wait = electionMinimum + this.#state.settings.random.integerBelow(spread);
    this.#deadline = this.#state.now + wait * this.#waitShare;
  }
}
