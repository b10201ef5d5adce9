import type { Milliseconds } from '../../common/index.js';
import type { Policy } from '../../model/index.js';
import type { HostHealthOptions } from './types.js';

/**
 * Holds hosts back that come and go.
 * Each return after an unplanned silence is a strike. One strike is an ordinary restart and costs nothing; with
 * each further one before the earlier are forgotten the host is held back twice as long.
 */
export class HoldBack {
  readonly #options: HostHealthOptions;
  #strikes = 0;
  #countedAt: Milliseconds = 0;

  constructor(options: HostHealthOptions) {
    this.#options = options;
  }

  /** Counts a strike, or a part of one, and returns how long the host is to be held back. */
  strike(now: Milliseconds, weight: number, scale: number): Milliseconds {
    const { strikeHalfLife, firstHoldBack, longestHoldBack } = this.#options;
    this.#strikes = this.#strikes * 0.5 ** ((now - this.#countedAt) / strikeHalfLife) + weight;
    this.#countedAt = now;
    if (this.#strikes < tolerated) {
      return 0;
    }
    return Math.min(longestHoldBack, firstHoldBack * scale * 2 ** (this.#strikes - 2));
  }
}

/** Strikes up to which a host is taken as one that just restarted. */
const tolerated = 1.5;

/**
 * How the policy stretches a hold-back.
 * A host that flaps breaks its group each time, which downtime pays for; a host held back is stranded.
 */
export function scaleHoldBack(policy: Policy): number {
  const { groupDowntimeWeight, strandedAcceleratorWeight } = policy;
  const ratio = groupDowntimeWeight / Math.max(strandedAcceleratorWeight, Number.EPSILON);
  return Math.min(longestScale, Math.max(shortestScale, Math.sqrt(ratio)));
}

const longestScale = 4;
const shortestScale = 0.25;
