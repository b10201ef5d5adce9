import { initialTransition, transition } from 'xstate';

import { assertNever, type Controller, type Milliseconds } from '../../common/index.js';
import {
  drainMachine,
  type DrainMachineEvent,
  type DrainSnapshot,
  type DrainState,
} from './drain-machine.js';

/** Input events of a graceful shutdown. */
export type DrainEvent =
  | { readonly type: 'stopRequested'; readonly now: Milliseconds }
  /** Number of unfinished attempts that this sidecar admitted; the groups that it leads are processing them. */
  | { readonly type: 'workChanged'; readonly now: Milliseconds; readonly running: number }
  /** Whether any lead, on this or another host, may still hold a lease on this host. */
  | { readonly type: 'holdChanged'; readonly now: Milliseconds; readonly isHeld: boolean }
  | { readonly type: 'ticked'; readonly now: Milliseconds };

/** Effects that the caller must carry out. */
export type DrainEffect =
  /** Stop admitting attempts, ask the leads of this host's groups to drain them, and notify control. */
  | { readonly type: 'refuseNewWork' }
  /** Release the leases of the groups that this sidecar leads. */
  | { readonly type: 'dissolveGroups' }
  /** Abort the remaining attempts: the hard limit has passed. */
  | { readonly type: 'abortAttempts' }
  /** Tell control that this host is leaving, then stop. */
  | { readonly type: 'leave' }
  | { readonly type: 'wake'; readonly at: Milliseconds };

/** Stops a sidecar without interrupting requests: drains, releases leases, then leaves. */
export class DrainController implements Controller<DrainEvent, DrainEffect> {
  readonly #hardLimit: Milliseconds;
  #snapshot: DrainSnapshot = initialTransition(drainMachine)[0];
  /** Undefined until first reported. Treating unknown as zero would let a shutdown finish with attempts in flight. */
  #runningCount: number | undefined;
  #isHeld: boolean | undefined;
  #deadline: Milliseconds = Infinity;

  /** `hardLimit` bounds the whole shutdown; it is Infinity if the operators set no limit. */
  constructor(hardLimit: Milliseconds) {
    this.#hardLimit = hardLimit;
  }

  get state(): DrainState {
    return this.#snapshot.value;
  }

  handle(event: DrainEvent): readonly DrainEffect[] {
    switch (event.type) {
      case 'stopRequested':
        return this.#stop(event.now);
      case 'workChanged':
        this.#runningCount = event.running;
        return this.#advance(event.now);
      case 'holdChanged':
        this.#isHeld = event.isHeld;
        return this.#advance(event.now);
      case 'ticked':
        return this.#advance(event.now);
      default:
        return assertNever(event);
    }
  }

  #stop(now: Milliseconds): readonly DrainEffect[] {
    if (this.state !== 'serving') {
      return [];
    }
    this.#deadline = now + this.#hardLimit;
    this.#transition({ type: 'stopRequested' });
    return [{ type: 'refuseNewWork' }, { type: 'wake', at: this.#deadline }, ...this.#advance(now)];
  }

  /** Advances as many states as the running attempts and the leases allow. */
  #advance(now: Milliseconds): readonly DrainEffect[] {
    const effects: DrainEffect[] = [];
    for (
      let event = this.#findNextEvent(now);
      event !== undefined;
      event = this.#findNextEvent(now)
    ) {
      const before = this.state;
      this.#transition(event);
      effects.push(...listEntryEffects(before, this.state));
    }
    return effects;
  }

  #findNextEvent(now: Milliseconds): DrainMachineEvent | undefined {
    const isOverLimit = now >= this.#deadline;
    switch (this.state) {
      case 'serving':
      case 'left':
        return undefined;
      case 'draining':
        if (this.#runningCount === 0) {
          return { type: 'workEnded' };
        }
        return isOverLimit ? { type: 'limitReached' } : undefined;
      case 'abortingAttempts':
        return this.#runningCount === 0 ? { type: 'workEnded' } : undefined;
      case 'releasingLeases':
        if (this.#isHeld === false) {
          return { type: 'holdReleased' };
        }
        return isOverLimit ? { type: 'limitReached' } : undefined;
      default:
        return assertNever(this.state);
    }
  }

  #transition(event: DrainMachineEvent): void {
    [this.#snapshot] = transition(drainMachine, this.#snapshot, event);
  }
}

function listEntryEffects(before: DrainState, after: DrainState): readonly DrainEffect[] {
  if (before === after) {
    return [];
  }
  switch (after) {
    case 'releasingLeases':
      return [{ type: 'dissolveGroups' }];
    case 'abortingAttempts':
      return [{ type: 'abortAttempts' }];
    case 'left':
      return [{ type: 'leave' }];
    case 'serving':
    case 'draining':
      return [];
    default:
      return assertNever(after);
  }
}
