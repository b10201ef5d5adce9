/** Polls for conditions; tests never wait for a fixed time. */
import { setTimeout as sleep } from 'node:timers/promises';

import { describeAge, describeError } from './describe-error.js';

const pollInterval = 25;
const defaultTimeout = 60_000;

interface PollFailure {
  readonly error: unknown;
  readonly at: number;
}

/**
 * Polls until the condition returns a value other than undefined or false without throwing.
 * The timeout in milliseconds only ends a hung test; no test result depends on how long the wait took.
 */
export async function waitFor<Value>(
  description: string,
  condition: () => Value | undefined | false | Promise<Value | undefined | false>,
  timeout = defaultTimeout,
): Promise<Value> {
  const end = performance.now() + timeout;
  let lastFailure: PollFailure | undefined;
  while (performance.now() < end) {
    try {
      const value = await condition();
      if (value !== undefined && value !== false) {
        return value;
      }
    } catch (error) {
      lastFailure = { error, at: performance.now() };
    }
    await sleep(pollInterval);
  }
  throw new Error(`timed out waiting for ${description}${describeFailure(lastFailure)}`, {
    cause: lastFailure?.error,
  });
}

/** Says when the failure was: later polls may have gone without one. */
function describeFailure(failure: PollFailure | undefined): string {
  if (failure === undefined) {
    return '';
  }
  return `; last error ${describeAge(failure.at)}: ${describeError(failure.error)}`;
}
