import { createMachine, initialTransition, transition, type SnapshotFrom } from 'xstate';

/** The life of one caller's request at its gateway. */
const requestMachine = createMachine({
  id: 'request',
  initial: 'new',
  states: {
    new: { on: { claimSent: 'claiming', choose: 'choosing', finish: 'done' } },
    claiming: { on: { choose: 'choosing', finish: 'done' } },
    choosing: { on: { attemptSent: 'sent', postpone: 'waiting', finish: 'done' } },
    waiting: { on: { choose: 'choosing', finish: 'done' } },
    sent: { on: { accepted: 'running', ask: 'asking', choose: 'choosing', finish: 'done' } },
    running: { on: { ask: 'asking', choose: 'choosing', finish: 'done' } },
    asking: { on: { resumed: 'sent', choose: 'choosing', finish: 'done' } },
    done: {},
  },
});

/** What moves a request on. */
export type RequestStep =
  'claimSent' | 'choose' | 'attemptSent' | 'postpone' | 'accepted' | 'ask' | 'resumed' | 'finish';

/** Where a request stands. */
export type RequestStage =
  'new' | 'claiming' | 'choosing' | 'waiting' | 'sent' | 'running' | 'asking' | 'done';

type Snapshot = SnapshotFrom<typeof requestMachine>;

const [initialSnapshot] = initialTransition(requestMachine);

/** Steps the machine by xstate's pure transition function and holds its present state. */
export class RequestLifecycle {
  #snapshot: Snapshot = initialSnapshot;

  get stage(): RequestStage {
    return this.#snapshot.value as RequestStage;
  }

  /** Takes a step; false when the present stage does not allow it, and nothing changes. */
  step(step: RequestStep): boolean {
    const [next] = transition(requestMachine, this.#snapshot, { type: step });
    const isAllowed = next.value !== this.#snapshot.value;
    this.#snapshot = next;
    return isAllowed;
  }
}
