import { createMachine, transition } from 'xstate';

import type { Milliseconds } from '../../common/index.js';
import { StepTable } from './step-table.js';

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

const attemptSteps = new StepTable<AttemptStage, AttemptStep>((stage, step) => {
  const snapshot = attemptMachine.resolveState({ value: stage });
  return transition(attemptMachine, snapshot, { type: step })[0].value as AttemptStage;
});

/** Steps the machine and holds its present stage. */
export class AttemptLifecycle {
  #stage: AttemptStage = 'queued';
  #changedAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#changedAt = now;
  }

  get stage(): AttemptStage {
    return this.#stage;
  }

  /** Monotonic time of the last step. */
  get changedAt(): Milliseconds {
    return this.#changedAt;
  }

  /** Takes a step; false when the present stage does not allow it, and nothing changes. */
  step(step: AttemptStep, now: Milliseconds): boolean {
    const next = attemptSteps.find(this.#stage, step);
    if (next === this.#stage) {
      return false;
    }
    this.#stage = next;
    this.#changedAt = now;
    return true;
  }
}
