import { createFailure, type Failure } from '../../common/index.js';
import type { MembershipChange } from './events.js';
import type { Leadership } from './leadership.js';
import {
  admitMember,
  findMember,
  isMember,
  promoteLearner,
  removeMember,
  type Member,
  type Membership,
} from './membership.js';
import type { CoreState } from './state.js';

/** A change that is in the log and not committed yet. */
interface PendingChange {
  readonly requestId: number;
  readonly index: number;
}

/**
 * Changes the members, one voter at a time and one change after the other: two quorums that share no voter could
 * otherwise elect two leaders.
 */
export class MembershipChanges {
  readonly #state: CoreState;
  readonly #leadership: Leadership;
  #pending: PendingChange[] = [];

  constructor(state: CoreState, leadership: Leadership) {
    this.#state = state;
    this.#leadership = leadership;
  }

  request(requestId: number, change: MembershipChange): void {
    const failure = this.#findObstacle(change);
    if (failure !== undefined || this.#isInForce(change)) {
      this.#answer(requestId, failure);
      return;
    }
    const index = this.#append(this.#apply(change));
    this.#pending.push({ requestId, index });
  }

  /**
   * A data folder told of itself. It is taken in when it is no member and its host is one of the settings: a new control
   * host, or one that lost its disk. Of two processes with one name, the one that answers stays.
   */
  handleGreeting(member: Member): void {
    const { log, settings } = this.#state;
    const earlier = findMember(log.membership, member.name);
    const isWanted =
      settings.peers.includes(member.name) && earlier?.storageId !== member.storageId;
    const isFree = earlier === undefined || this.#leadership.isSilent(earlier);
    const change: MembershipChange = { type: 'admit', member };
    if (isWanted && isFree && this.#findObstacle(change) === undefined) {
      this.#append(this.#apply(change));
    }
  }

  /** Lets one learner vote that has caught up, and answers the changes that are committed. */
  advance(): void {
    this.#answerCommitted();
    const { membership } = this.#state.log;
    const learner = membership.learners.find((member) => this.#leadership.isCaughtUp(member));
    if (learner !== undefined && this.#isReady()) {
      this.#append(promoteLearner(membership, learner));
    }
  }

  stop(): void {
    const failure = createFailure('changeUncertain', 'leadership was lost before the commit');
    for (const { requestId } of this.#pending) {
      this.#answer(requestId, failure);
    }
    this.#pending = [];
  }

  /** An uncommitted change, or a leader that has committed nothing yet, must be waited for. */
  #isReady(): boolean {
    const { log, commitIndex, hasCommittedInTerm } = this.#state;
    return hasCommittedInTerm && log.membershipIndex <= commitIndex;
  }

  #findObstacle(change: MembershipChange): Failure | undefined {
    if (this.#state.role !== 'leader') {
      return createFailure('noQuorum', 'this control host is not the leader', 1000);
    }
    if (!this.#isReady()) {
      return createFailure('noQuorum', 'another change of the members is not committed yet', 1000);
    }
    if (this.#apply(change).voters.length === 0) {
      return createFailure('invalidCommand', 'the last voter cannot be taken out');
    }
    return undefined;
  }

  #isInForce(change: MembershipChange): boolean {
    const { membership } = this.#state.log;
    switch (change.type) {
      case 'admit':
        return isMember(membership, change.member.storageId);
      case 'remove':
        return findMember(membership, change.name) === undefined;
    }
  }

  #apply(change: MembershipChange): Membership {
    const { membership } = this.#state.log;
    switch (change.type) {
      case 'admit':
        return admitMember(membership, change.member);
      case 'remove':
        return removeMember(membership, change.name);
    }
  }

  #append(membership: Membership): number {
    const entry = this.#leadership.append({ type: 'membership', membership });
    this.#leadership.sendEntries();
    return entry?.index ?? 0;
  }

  #answerCommitted(): void {
    const { commitIndex } = this.#state;
    for (const { requestId, index } of this.#pending) {
      if (index <= commitIndex) {
        this.#answer(requestId, undefined);
      }
    }
    this.#pending = this.#pending.filter(({ index }) => index > commitIndex);
  }

  #answer(requestId: number, failure: Failure | undefined): void {
    this.#state.outbox.emit({ type: 'membershipAnswered', requestId, failure });
  }
}
