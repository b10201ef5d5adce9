import { setTimeout as sleep } from 'node:timers/promises';

import type { Milliseconds } from './time.js';

/** Waits; ends early, without an error, when the signal says that nobody waits any more. For shells only. */
export async function pause(duration: Milliseconds, signal: AbortSignal): Promise<void> {
  try {
    await sleep(duration, undefined, { signal });
  } catch {
    return;
  }
}
