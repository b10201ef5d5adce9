/** Waiting for conditions; tests never wait for a fixed time. */
import { setTimeout as sleep } from 'node:timers/promises';

const pollInterval = 25;
const defaultPatience = 60_000;

/**
 * Polls until the condition gives a value other than undefined, false or a rejection.
 * The patience in milliseconds only ends a hung test; no verdict depends on how long the wait took.
 */
export async function waitFor<Value>(
  description: string,
  condition: () => Value | undefined | false | Promise<Value | undefined | false>,
  patience = defaultPatience,
): Promise<Value> {
  const end = performance.now() + patience;
  let lastError: unknown;
  while (performance.now() < end) {
    try {
      const value = await condition();
      if (value !== undefined && value !== false) {
        return value;
      }
    } catch (error) {
      lastError = error;
    }
    await sleep(pollInterval);
  }
  const reason = lastError instanceof Error ? `; last error: ${lastError.message}` : '';
  throw new Error(`gave up waiting for ${description}${reason}`);
}
