import type { Milliseconds } from '../../common/index.js';

/**
 * A refused caller is told to retry after this share of its remaining time, within the bounds below. It retries once. A later retry is
 * more likely to find groups repaired, a quorum of control or the end of a burst, and the request is late in any case. Callers do not
 * wait for more than a third of their time.
 */
const remainingTimeShare = 0.31;
const minimumDelay: Milliseconds = 200;
const maximumDelay: Milliseconds = 2000;

/** Returns the delay before the retry of a caller that is refused with this much time remaining. */
export function chooseRetryAfter(remaining: Milliseconds): Milliseconds {
  return Math.min(maximumDelay, Math.max(minimumDelay, Math.round(remaining * remainingTimeShare)));
}
