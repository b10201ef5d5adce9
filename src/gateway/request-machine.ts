import { createMachine, initialTransition, transition, type SnapshotFrom } from 'xstate';

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

type RequestSnapshot = SnapshotFrom<typeof requestMachine>;
type AttemptSnapshot = SnapshotFrom<typeof attemptMachine>;

const [firstRequestSnapshot] = initialTransition(requestMachine);
const [firstAttemptSnapshot] = initialTransition(attemptMachine);

/** Steps the machine of a request by xstate's pure transition function and holds its present state. */
export class RequestLifecycle {
  #snapshot: RequestSnapshot = firstRequestSnapshot;

  get stage(): RequestStage {
    return this.#snapshot.value as RequestStage;
  }

  /** Takes a step; one that the present stage does not allow changes nothing. */
  step(step: RequestStep): void {
    [this.#snapshot] = transition(requestMachine, this.#snapshot, { type: step });
  }
}

/** Steps the machine of a followed attempt by xstate's pure transition function and holds its present state. */
export class FollowLifecycle {
  #snapshot: AttemptSnapshot = firstAttemptSnapshot;

  get stage(): FollowStage {
    return this.#snapshot.value as FollowStage;
  }

  /** Takes a step; one that the present stage does not allow changes nothing. */
  step(step: FollowStep): void {
    [this.#snapshot] = transition(attemptMachine, this.#snapshot, { type: step });
  }
}
