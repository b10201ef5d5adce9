import type { Milliseconds } from '../../common/index.js';

/** Longest time that a request is held without a response: callers of streams give up after two seconds without an event. */
export const maximumWait: Milliseconds = 1800;
