import type { Clock, Milliseconds } from '../../common/index.js';
import { DrainController, type DrainEffect } from '../drain/index.js';

/** Carries a planned stop out, step by step of its `DrainController`. */

const pollInterval: Milliseconds = 50;

/** What a planned stop does to the parts of a sidecar. */
export interface DrainTarget {
  /** Attempts that this sidecar admitted and that have not ended. */
  readonly countRunning: () => number;
  /** Whether some lead may still count on this host. */
  readonly isHeld: () => boolean;
  readonly refuseNewWork: () => void;
  readonly dissolveGroups: () => void;
  readonly cutOff: () => Promise<void>;
  readonly leave: () => void;
}

/** Resolves once the host has left. */
export async function runDrain(
  target: DrainTarget,
  hardLimit: Milliseconds,
  clock: Clock,
): Promise<void> {
  const controller = new DrainController(hardLimit);
  await carryOut(target, controller.handle({ type: 'stopRequested', now: clock.monotonic() }));
  while (controller.state !== 'left') {
    const now = clock.monotonic();
    const running = target.countRunning();
    await carryOut(target, controller.handle({ type: 'workChanged', now, running }));
    const isHeld = target.isHeld();
    await carryOut(target, controller.handle({ type: 'holdChanged', now, isHeld }));
    await new Promise((resolve) => setTimeout(resolve, pollInterval));
  }
}

async function carryOut(target: DrainTarget, effects: readonly DrainEffect[]): Promise<void> {
  for (const effect of effects) {
    switch (effect.type) {
      case 'refuseNewWork':
        target.refuseNewWork();
        break;
      case 'dissolveGroups':
        target.dissolveGroups();
        break;
      case 'cutOff':
        await target.cutOff();
        break;
      case 'leave':
        target.leave();
        break;
      case 'wake':
        // The loop looks often enough.
        break;
    }
  }
}
