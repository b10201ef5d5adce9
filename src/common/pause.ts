import { setTimeout as sleep } from 'node:timers/promises';

import type { Milliseconds } from './time.js';

/** Waits for the duration. Resolves early, without an error, when the signal is aborted. Only for the I/O shells. */
export async function pause(duration: Milliseconds, signal: AbortSignal): Promise<void> {
  try {
    await sleep(duration, undefined, { signal });
  } catch {
    return;
  }
}
