import { createMachine, transition } from 'xstate';

import type { Milliseconds } from '../../common/index.js';
import { TransitionCache } from './transition-cache.js';

/** State machine for the lifecycle of one attempt at a sidecar. */
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

/** Events that trigger a stage change of an attempt. */
export type AttemptTransition = 'slotFreed' | 'groupConfirmed' | 'refuse' | 'cancel' | 'end';

/** Lifecycle stages of an attempt. */
export type AttemptStage = 'queued' | 'confirming' | 'running' | 'ended' | 'refused';

const attemptTransitions = new TransitionCache<AttemptStage, AttemptTransition>((stage, event) => {
  const snapshot = attemptMachine.resolveState({ value: stage });
  return transition(attemptMachine, snapshot, { type: event })[0].value as AttemptStage;
});

/** Applies events to the state machine and holds the current stage. */
export class AttemptLifecycle {
  #stage: AttemptStage = 'queued';
  #changedAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#changedAt = now;
  }

  get stage(): AttemptStage {
    return this.#stage;
  }

  /** Monotonic time of the last stage change. */
  get changedAt(): Milliseconds {
    return this.#changedAt;
  }

  /** Applies an event. Returns false and changes nothing when the current stage does not allow it. */
  transition(event: AttemptTransition, now: Milliseconds): boolean {
    const next = attemptTransitions.findNext(this.#stage, event);
    if (next === this.#stage) {
      return false;
    }
    this.#stage = next;
    this.#changedAt = now;
    return true;
  }
}
