import type { Milliseconds } from '../common/index.js';

/**
 * Slots per returning caller. Half of the slots that become free are left to new callers, since a caller that is refused a second time
 * loses more than one that is refused for the first time.
 */
const slotsPerReturn = 2;

/** Spreads refused callers over the time in which there will be slots for them. */
export class ReturnSchedule {
  #latest: Milliseconds = Number.NEGATIVE_INFINITY;

  /**
   * Returns when the caller should come back: at `earliest`, or after the callers that were told the same, but within `spread`. If more
   * are refused than that allows, the spread is used from its start again.
   */
  book(earliest: Milliseconds, spread: Milliseconds, slotInterval: Milliseconds): Milliseconds {
    const next = Math.max(earliest, this.#latest + slotsPerReturn * slotInterval);
    this.#latest = next <= earliest + spread ? next : earliest;
    return this.#latest;
  }
}
