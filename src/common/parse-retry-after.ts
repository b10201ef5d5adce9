import { parseDecimal } from './parse-decimal.js';
import type { Milliseconds } from './time.js';

const millisecondsPerSecond = 1000;

/**
 * Parses the value of a `Retry-After` header in seconds, possibly with a fraction; undefined if it is absent or malformed. Dates are not
 * supported, because they depend on the clocks of two hosts.
 */
export function parseRetryAfter(
  text: string | readonly string[] | undefined,
): Milliseconds | undefined {
  const seconds = typeof text === 'string' ? parseDecimal(text) : undefined;
  return seconds === undefined ? undefined : seconds * millisecondsPerSecond;
}
