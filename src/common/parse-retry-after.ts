import type { Milliseconds } from './time.js';

const millisecondsPerSecond = 1000;

/**
 * Parses the value of a `Retry-After` header in seconds, possibly with a fraction; undefined if it is absent or malformed. Dates are not
 * supported, because they depend on the clocks of two hosts.
 */
export function parseRetryAfter(
  text: string | readonly string[] | undefined,
): Milliseconds | undefined {
  return typeof text === 'string' && /^\d+(\.\d+)?$/.test(text)
    ? Number(text) * millisecondsPerSecond
    : undefined;
}
