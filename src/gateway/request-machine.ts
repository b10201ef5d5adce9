import { createMachine, transition } from 'xstate';

import { TransitionCache } from '../sidecar/attempts/transition-cache.js';

/** States of one caller's request at its gateway. */
const requestMachine = createMachine({
  id: 'request',
  initial: 'new',
  states: {
    new: { on: { claimSent: 'claiming', choose: 'choosing', finish: 'done' } },
    claiming: { on: { choose: 'choosing', finish: 'done' } },
    choosing: { on: { attemptSent: 'attempting', postpone: 'waiting', finish: 'done' } },
    waiting: { on: { choose: 'choosing', finish: 'done' } },
    attempting: { on: { choose: 'choosing', finish: 'done' } },
    done: {},
  },
});

/** States of one attempt as its gateway sees it. */
const attemptMachine = createMachine({
  id: 'followedAttempt',
  initial: 'reading',
  states: {
    reading: { on: { ask: 'asking', finish: 'over' } },
    asking: { on: { resume: 'reading', finish: 'over' } },
    over: {},
  },
});

/** Events of the request machine. */
export type RequestStep = 'claimSent' | 'choose' | 'attemptSent' | 'postpone' | 'finish';

/** States of the request machine. */
export type RequestStage = 'new' | 'claiming' | 'choosing' | 'waiting' | 'attempting' | 'done';

/** Events of the attempt machine. */
export type FollowStep = 'ask' | 'resume' | 'finish';

/** States of the attempt machine. */
export type FollowStage = 'reading' | 'asking' | 'over';

const requestSteps = new TransitionCache<RequestStage, RequestStep>((stage, step) => {
  const snapshot = requestMachine.resolveState({ value: stage });
  return transition(requestMachine, snapshot, { type: step })[0].value as RequestStage;
});

const followSteps = new TransitionCache<FollowStage, FollowStep>((stage, step) => {
  const snapshot = attemptMachine.resolveState({ value: stage });
  return transition(attemptMachine, snapshot, { type: step })[0].value as FollowStage;
});

/** Holds the current stage of a request and applies its transitions. */
export class RequestLifecycle {
  #stage: RequestStage = 'new';

  get stage(): RequestStage {
    return this.#stage;
  }

  /** Applies a step; a step that the current stage does not allow is ignored. */
  step(step: RequestStep): void {
    this.#stage = requestSteps.findNext(this.#stage, step);
  }
}

/** Holds the current stage of a followed attempt and applies its transitions. */
export class FollowLifecycle {
  #stage: FollowStage = 'reading';

  get stage(): FollowStage {
    return this.#stage;
  }

  /** Applies a step; a step that the current stage does not allow is ignored. */
  step(step: FollowStep): void {
    this.#stage = followSteps.findNext(this.#stage, step);
  }
}
