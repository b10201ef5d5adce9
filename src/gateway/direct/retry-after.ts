import type { Milliseconds } from '../../common/index.js';

/**
 * A caller that was refused is told to come back after this part of the time it has left, and within these bounds. It comes
 * back once; the later, the more likely is it that groups are mended, control has a quorum or the burst is over, and late it is
 * anyway. Callers do not wait for more than a third of their time.
 */
const share = 0.31;
const shortest: Milliseconds = 200;
const longest: Milliseconds = 2000;

/** When a caller that is refused now, with this much of its time left, should come back. */
export function chooseRetryAfter(remaining: Milliseconds): Milliseconds {
  return Math.min(longest, Math.max(shortest, Math.round(remaining * share)));
}
