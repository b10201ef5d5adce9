import { createMachine, initialTransition, transition, type SnapshotFrom } from 'xstate';

import type { Milliseconds } from '../../common/index.js';

/** The life of one attempt at a sidecar. */
const attemptMachine = createMachine({
  id: 'attempt',
  initial: 'queued',
  states: {
    queued: {
      on: { slotFreed: 'confirming', refuse: 'refused', cancel: 'refused' },
    },
    confirming: {
      on: { groupConfirmed: 'running', refuse: 'refused', cancel: 'refused' },
    },
    running: {
      on: { end: 'ended' },
    },
    ended: {},
    refused: {},
  },
});

/** What moves an attempt on. */
export type AttemptStep = 'slotFreed' | 'groupConfirmed' | 'refuse' | 'cancel' | 'end';

/** Where an attempt stands. */
export type AttemptStage = 'queued' | 'confirming' | 'running' | 'ended' | 'refused';

type Snapshot = SnapshotFrom<typeof attemptMachine>;

const [initialSnapshot] = initialTransition(attemptMachine);

/** Steps the machine by xstate's pure transition function and holds its present state. */
export class AttemptLifecycle {
  #snapshot: Snapshot = initialSnapshot;
  #changedAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#changedAt = now;
  }

  get stage(): AttemptStage {
    return this.#snapshot.value as AttemptStage;
  }

  /** Monotonic time of the last step. */
  get changedAt(): Milliseconds {
    return this.#changedAt;
  }

  /** Takes a step; false when the present stage does not allow it, and nothing changes. */
  step(step: AttemptStep, now: Milliseconds): boolean {
    const [next] = transition(attemptMachine, this.#snapshot, { type: step });
    if (next.value === this.#snapshot.value) {
      return false;
    }
    this.#snapshot = next;
    this.#changedAt = now;
    return true;
  }
}
