import { createMachine, transition } from 'xstate';

import { StepTable } from '../sidecar/attempts/step-table.js';

/** The life of one caller's request at its gateway. */
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

/** The life of one attempt as its gateway sees it. */
const attemptMachine = createMachine({
  id: 'followedAttempt',
  initial: 'reading',
  states: {
    reading: { on: { ask: 'asking', finish: 'over' } },
    asking: { on: { resume: 'reading', finish: 'over' } },
    over: {},
  },
});

/** What moves a request on. */
export type RequestStep = 'claimSent' | 'choose' | 'attemptSent' | 'postpone' | 'finish';

/** Where a request stands. */
export type RequestStage = 'new' | 'claiming' | 'choosing' | 'waiting' | 'attempting' | 'done';

/** What moves a followed attempt on. */
export type FollowStep = 'ask' | 'resume' | 'finish';

/** Where a followed attempt stands. */
export type FollowStage = 'reading' | 'asking' | 'over';

const requestSteps = new StepTable<RequestStage, RequestStep>((stage, step) => {
  const snapshot = requestMachine.resolveState({ value: stage });
  return transition(requestMachine, snapshot, { type: step })[0].value as RequestStage;
});

const followSteps = new StepTable<FollowStage, FollowStep>((stage, step) => {
  const snapshot = attemptMachine.resolveState({ value: stage });
  return transition(attemptMachine, snapshot, { type: step })[0].value as FollowStage;
});

/** Steps the machine of a request and holds its present stage. */
export class RequestLifecycle {
  #stage: RequestStage = 'new';

  get stage(): RequestStage {
    return this.#stage;
  }

  /** Takes a step; one that the present stage does not allow changes nothing. */
  step(step: RequestStep): void {
    this.#stage = requestSteps.find(this.#stage, step);
  }
}

/** Steps the machine of a followed attempt and holds its present stage. */
export class FollowLifecycle {
  #stage: FollowStage = 'reading';

  get stage(): FollowStage {
    return this.#stage;
  }

  /** Takes a step; one that the present stage does not allow changes nothing. */
  step(step: FollowStep): void {
    this.#stage = followSteps.find(this.#stage, step);
  }
}
