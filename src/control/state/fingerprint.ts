import { createHash } from 'node:crypto';

import type { Change } from './commands.js';

/**
 * Digest of a change, the same for every resend of it.
 * `at` is left out: the leader stamps it anew for each resend. The base revision counts: the same edit made from
 * another revision is another change.
 */
export function computeChangeFingerprint(change: Change): string {
  const withoutTime = { ...change, at: 0 };
  return createHash('sha256').update(stringifyCanonically(withoutTime)).digest('hex');
}

/** JSON with sorted keys, so that equal values give equal texts. */
export function stringifyCanonically(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => sortKeys(inner));
}

function sortKeys(value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return value;
  }
  const entries = Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(entries);
}
