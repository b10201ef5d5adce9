import type { Milliseconds } from '../../common/index.js';

/** Longest time without an answer to a caller: those of streams leave after two seconds without an event, so more would serve nobody. */
export const longestHold: Milliseconds = 1800;
