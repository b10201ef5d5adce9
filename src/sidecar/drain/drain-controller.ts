import { initialTransition, transition } from 'xstate';

import { assertNever, type Controller, type Milliseconds } from '../../common/index.js';
import {
  drainMachine,
  type DrainMachineEvent,
  type DrainSnapshot,
  type DrainState,
} from './drain-machine.js';

/** What a planned stop depends on. */
export type DrainEvent =
  | { readonly type: 'stopRequested'; readonly now: Milliseconds }
  /** Attempts that this sidecar admitted and that have not ended; the groups that it leads are busy with them. */
  | { readonly type: 'workChanged'; readonly now: Milliseconds; readonly running: number }
  /** Whether some lead, here or elsewhere, may still count on this host. */
  | { readonly type: 'holdChanged'; readonly now: Milliseconds; readonly isHeld: boolean }
  | { readonly type: 'ticked'; readonly now: Milliseconds };

/** What a planned stop asks of the shell. */
export type DrainEffect =
  /** Admit nothing more, ask the leads of this host's groups to drain them, tell control. */
  | { readonly type: 'refuseNewWork' }
  /** Hand back the leases of the groups that this sidecar leads. */
  | { readonly type: 'dissolveGroups' }
  /** End what is left: the hard limit has come. */
  | { readonly type: 'cutOff' }
  /** Say good-bye to control, then stop. */
  | { readonly type: 'leave' }
  | { readonly type: 'wake'; readonly at: Milliseconds };

/** Stops a sidecar without cutting off a request: drain, hand back, leave. */
export class DrainController implements Controller<DrainEvent, DrainEffect> {
  readonly #hardLimit: Milliseconds;
  #snapshot: DrainSnapshot = initialTransition(drainMachine)[0];
  /** Undefined until told: a stop that took the unknown for nothing would leave with work in flight. */
  #running: number | undefined;
  #isHeld: boolean | undefined;
  #limitAt: Milliseconds = Infinity;

  /** `hardLimit` bounds the whole stop; infinite where the operators set none. */
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
        this.#running = event.running;
        return this.#proceed(event.now);
      case 'holdChanged':
        this.#isHeld = event.isHeld;
        return this.#proceed(event.now);
      case 'ticked':
        return this.#proceed(event.now);
      default:
        return assertNever(event);
    }
  }

  #stop(now: Milliseconds): readonly DrainEffect[] {
    if (this.state !== 'serving') {
      return [];
    }
    this.#limitAt = now + this.#hardLimit;
    this.#step({ type: 'stopRequested' });
    return [{ type: 'refuseNewWork' }, { type: 'wake', at: this.#limitAt }, ...this.#proceed(now)];
  }

  /** Goes as many steps as the present state of work and leases allows. */
  #proceed(now: Milliseconds): readonly DrainEffect[] {
    const effects: DrainEffect[] = [];
    for (let event = this.#findStep(now); event !== undefined; event = this.#findStep(now)) {
      const before = this.state;
      this.#step(event);
      effects.push(...listEntryEffects(before, this.state));
    }
    return effects;
  }

  #findStep(now: Milliseconds): DrainMachineEvent | undefined {
    const isOverLimit = now >= this.#limitAt;
    switch (this.state) {
      case 'serving':
      case 'left':
        return undefined;
      case 'draining':
        if (this.#running === 0) {
          return { type: 'workEnded' };
        }
        return isOverLimit ? { type: 'limitReached' } : undefined;
      case 'cutting':
        return this.#running === 0 ? { type: 'workEnded' } : undefined;
      case 'handingBack':
        if (this.#isHeld === false) {
          return { type: 'freed' };
        }
        return isOverLimit ? { type: 'limitReached' } : undefined;
      default:
        return assertNever(this.state);
    }
  }

  #step(event: DrainMachineEvent): void {
    [this.#snapshot] = transition(drainMachine, this.#snapshot, event);
  }
}

function listEntryEffects(before: DrainState, after: DrainState): readonly DrainEffect[] {
  if (before === after) {
    return [];
  }
  switch (after) {
    case 'handingBack':
      return [{ type: 'dissolveGroups' }];
    case 'cutting':
      return [{ type: 'cutOff' }];
    case 'left':
      return [{ type: 'leave' }];
    case 'serving':
    case 'draining':
      return [];
    default:
      return assertNever(after);
  }
}
