import { createFailure } from '../../common/index.js';
import type { Leadership } from './leadership.js';
import type { CoreState } from './state.js';

/** A read that waits until a quorum has confirmed the leader and its index is committed. */
interface PendingRead {
  readonly readId: number;
  readonly index: number;
  readonly round: number;
}

/**
 * Linearizable reads (Raft's read index): the leader's commit index at the time of the request, confirmed by a round
 * that started after the request and that a quorum acknowledged. A leader that was replaced without noticing gets no
 * such acknowledgement.
 */
export class Reads {
  readonly #state: CoreState;
  readonly #leadership: Leadership;
  #pending: PendingRead[] = [];

  constructor(state: CoreState, leadership: Leadership) {
    this.#state = state;
    this.#leadership = leadership;
  }

  request(readId: number): void {
    if (this.#state.role !== 'leader') {
      this.#fail(readId);
      return;
    }
    const index = Math.max(this.#state.commitIndex, this.#leadership.startIndex);
    this.#pending.push({ readId, index, round: this.#leadership.broadcast() });
    this.confirm();
  }

  /** Confirms the reads whose round a quorum has acknowledged and whose index is committed. */
  confirm(): void {
    if (this.#pending.length === 0) {
      return;
    }
    const round = this.#leadership.confirmedRound;
    const { commitIndex } = this.#state;
    const isReady = (read: PendingRead): boolean =>
      read.round <= round && read.index <= commitIndex;
    for (const { readId } of this.#pending.filter(isReady)) {
      this.#state.outbox.emit({ type: 'readConfirmed', readId, index: commitIndex });
    }
    this.#pending = this.#pending.filter((read) => !isReady(read));
  }

  stop(): void {
    for (const { readId } of this.#pending) {
      this.#fail(readId);
    }
    this.#pending = [];
  }

  #fail(readId: number): void {
    const failure = createFailure('notFresh', 'this control host is not the leader', 1000);
    this.#state.outbox.emit({ type: 'readFailed', readId, failure });
  }
}
