import { createHash } from 'node:crypto';

import type { Change } from './commands.js';

/**
 * Computes a digest that is the same for every resend of a change.
 * It excludes `at`, which the leader sets anew for each resend. It includes the base revision: the same edit based on
 * another revision is a different change.
 */
export function computeChangeFingerprint(change: Change): string {
  const withoutTime = { ...change, at: 0 };
  return createHash('sha256').update(stringifyCanonically(withoutTime)).digest('hex');
}

/** Serializes as JSON with sorted keys, so that equal values give equal texts. */
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
