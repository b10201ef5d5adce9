/** Polls for conditions; tests never wait for a fixed time. */
import { setTimeout as sleep } from 'node:timers/promises';

const pollInterval = 25;
const defaultTimeout = 60_000;

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
  throw new Error(`timed out waiting for ${description}${reason}`);
}
