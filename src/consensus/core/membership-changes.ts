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

/** A requested change that is appended to the log and not committed yet. */
interface PendingChange {
  readonly requestId: number;
  readonly index: number;
}

/**
 * Applies membership changes one at a time, each changing at most one voter. Otherwise the quorums before and after a
 * change might share no voter and could elect two leaders.
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
    const failure = this.#validate(change);
    if (failure !== undefined || this.#isAlreadyApplied(change)) {
      this.#answer(requestId, failure);
      return;
    }
    const index = this.#append(this.#apply(change));
    this.#pending.push({ requestId, index });
  }

  /**
   * Handles the announcement of a data folder. It is admitted if it is not a member and its host is listed in the
   * settings: it is a new control host, or one that lost its disk. If another data folder with the same host name is a
   * member and still answers, that one stays.
   */
  handleGreeting(member: Member): void {
    const { log, settings } = this.#state;
    const existing = findMember(log.membership, member.name);
    const isExpected =
      settings.peers.includes(member.name) && existing?.storageId !== member.storageId;
    const isReplaceable = existing === undefined || this.#leadership.isSilent(existing);
    const change: MembershipChange = { type: 'admit', member };
    if (isExpected && isReplaceable && this.#validate(change) === undefined) {
      this.#append(this.#apply(change));
    }
  }

  /** Promotes one learner that has caught up, and answers the requests whose changes are committed. */
  advance(): void {
    this.#answerCommitted();
    const { membership } = this.#state.log;
    const learner = membership.learners.find((member) => this.#leadership.isCaughtUp(member));
    if (learner !== undefined && this.#canChange()) {
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

  /** Whether the previous change is committed and the leader has committed an entry in its term. */
  #canChange(): boolean {
    const { log, commitIndex, hasCommittedInTerm } = this.#state;
    return hasCommittedInTerm && log.membershipIndex <= commitIndex;
  }

  #validate(change: MembershipChange): Failure | undefined {
    if (this.#state.role !== 'leader') {
      return createFailure('noQuorum', 'this control host is not the leader', 1000);
    }
    if (!this.#canChange()) {
      return createFailure('noQuorum', 'another change of the members is not committed yet', 1000);
    }
    if (this.#apply(change).voters.length === 0) {
      return createFailure('invalidCommand', 'the last voter cannot be taken out');
    }
    return undefined;
  }

  #isAlreadyApplied(change: MembershipChange): boolean {
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
