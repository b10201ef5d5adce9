import type { Milliseconds } from '../common/index.js';

/** Measures how fast slots become free for one gateway, from the time for which requests waited and the slots that they took meanwhile. */

/**
 * Time between two slots that is assumed before anything is measured, and the number of slots for which the assumption counts. It is
 * shorter than what gateways find under load (30 to 60 ms), so that nothing is refused at once before slots are known to be scarce: a group
 * that was never heard of is asked by one request at a time even if it is empty.
 */
const assumedInterval: Milliseconds = 15;
const assumedSlots = 2;
/** Period that the measurement covers: about that of a change in load, and some tens of slots. */
const measuredPeriod: Milliseconds = 1000;
/** Period after which the measurement no longer counts while nothing waits. */
const memory: Milliseconds = 4000;

export class SlotRate {
  #updatedAt: Milliseconds | undefined;
  #isScarce = false;
  #time: Milliseconds = 0;
  #taken = 0;

  /** `isScarce`: whether requests wait for which there is no slot. */
  setScarce(isScarce: boolean, now: Milliseconds): void {
    this.#advance(now);
    this.#isScarce = isScarce;
  }

  /** A request has taken a slot. Slots taken while there are others say nothing about their rate. */
  noteTaken(now: Milliseconds): void {
    this.#advance(now);
    this.#taken += this.#isScarce ? 1 : 0;
  }

  /** Mean time between two slots that become free. */
  readInterval(now: Milliseconds): Milliseconds {
    this.#advance(now);
    return (this.#time + assumedSlots * assumedInterval) / (this.#taken + assumedSlots);
  }

  #advance(now: Milliseconds): void {
    const elapsed = now - (this.#updatedAt ?? now);
    const decay = Math.exp(-elapsed / (this.#isScarce ? measuredPeriod : memory));
    this.#time = this.#time * decay + (this.#isScarce ? elapsed : 0);
    this.#taken *= decay;
    this.#updatedAt = now;
  }
}
