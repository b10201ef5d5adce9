import type { Milliseconds } from './time.js';

const millisecondsPerSecond = 1000;
/** Few enough digits for a finite number. */
const seconds = /^\d{1,15}(?:\.\d{1,15})?$/;

/**
 * Parses the value of a `Retry-After` header in seconds, possibly with a fraction; undefined if it is absent or malformed. Dates are not
 * supported, because they depend on the clocks of two hosts.
 */
export function parseRetryAfter(
  text: string | readonly string[] | undefined,
): Milliseconds | undefined {
  return typeof text === 'string' && seconds.test(text)
    ? Number(text) * millisecondsPerSecond
    : undefined;
}
