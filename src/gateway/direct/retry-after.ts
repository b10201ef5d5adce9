import type { Milliseconds } from '../../common/index.js';

/**
 * A refused caller is told to retry after this share of its remaining time, within the bounds below. It retries once. A later retry is
 * more likely to find groups repaired, a quorum of control or the end of a burst, and the request is late in any case. Callers do not
 * wait for more than a third of their time.
 */
const remainingTimeShare = 0.31;
const minimumDelay: Milliseconds = 200;
const maximumDelay: Milliseconds = 2000;

/**
 * Refused callers return over this share of their remaining time, those with the least time first. If all returned at the moment at which
 * upstreams accept requests again, the upstreams would be overloaded at once.
 */
const returnSpread = 0.1;

/** For a caller that is sent away while other gateways serve. */
export const retryAtOnce: Milliseconds = 0;

/**
 * Returns the delay before the retry of a caller that is refused with this much time remaining.
 * `unavailableFor`: time for which a retry is known to be refused as well.
 */
export function chooseRetryAfter(
  remaining: Milliseconds,
  unavailableFor: Milliseconds = 0,
): Milliseconds {
  const usual = Math.round(remaining * remainingTimeShare);
  const delay = Math.min(maximumDelay, Math.max(minimumDelay, usual));
  return delay >= unavailableFor
    ? delay
    : Math.ceil(unavailableFor) + Math.round(remaining * returnSpread);
}
