import type { TestEngine } from '../test-engine.js';

/** Time after which a gateway must know of a head that has opened, or of all heads after its own start, in milliseconds. */
export const settlingTime = 3000;

/** Time since when an engine has been usable by settled gateways: it serves, and neither pauses nor leaves. Undefined if there is none. */
export function findUsableSince(engines: readonly TestEngine[]): number | undefined {
  const times = engines.flatMap(({ openSince, isLeaving, retryAfter, received }) => {
    if (openSince === undefined || isLeaving || retryAfter !== undefined) {
      return [];
    }
    return Math.max(openSince + settlingTime, ...received.map(({ at, pause = 0 }) => at + pause));
  });
  return times.length === 0 ? undefined : Math.min(...times);
}
