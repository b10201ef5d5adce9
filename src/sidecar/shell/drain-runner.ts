import type { Clock, Milliseconds } from '../../common/index.js';
import { DrainController, type DrainEffect } from '../drain/index.js';

/** Executes a graceful shutdown as directed by a `DrainController`. */

const pollInterval: Milliseconds = 50;

/** Operations of a sidecar that a graceful shutdown uses. */
export interface DrainTarget {
  /** Number of attempts that this sidecar admitted and whose responses are not delivered. */
  readonly countRunning: () => number;
  /** Whether any lead may still hold a lease on this host. */
  readonly isHeld: () => boolean;
  readonly refuseNewWork: () => void;
  readonly dissolveGroups: () => void;
  readonly abortAttempts: () => Promise<void>;
  readonly leave: () => void;
}

/** Resolves once the host has left. */
export async function runDrain(
  target: DrainTarget,
  hardLimit: Milliseconds,
  clock: Clock,
): Promise<void> {
  const controller = new DrainController(hardLimit);
  await applyEffects(target, controller.handle({ type: 'stopRequested', now: clock.monotonic() }));
  while (controller.state !== 'left') {
    const now = clock.monotonic();
    const running = target.countRunning();
    await applyEffects(target, controller.handle({ type: 'workChanged', now, running }));
    const isHeld = target.isHeld();
    await applyEffects(target, controller.handle({ type: 'holdChanged', now, isHeld }));
    await new Promise((resolve) => setTimeout(resolve, pollInterval));
  }
}

async function applyEffects(target: DrainTarget, effects: readonly DrainEffect[]): Promise<void> {
  for (const effect of effects) {
    switch (effect.type) {
      case 'refuseNewWork':
        target.refuseNewWork();
        break;
      case 'dissolveGroups':
        target.dissolveGroups();
        break;
      case 'abortAttempts':
        await target.abortAttempts();
        break;
      case 'leave':
        target.leave();
        break;
      case 'wake':
        // Not needed: the loop polls often enough.
        break;
    }
  }
}
