import type { Milliseconds } from '../../common/index.js';
import type { Policy } from '../../model/index.js';
import type { HostHealthOptions } from './types.js';

/**
 * Quarantines hosts that flap.
 * Each return after an unplanned silence adds a penalty of 1, which decays exponentially. A single return is an ordinary
 * restart and has no effect. Each further one, before the earlier penalty has decayed, doubles the quarantine.
 */
export class FlapDamping {
  readonly #options: HostHealthOptions;
  #penalty = 0;
  #updatedAt: Milliseconds = 0;

  constructor(options: HostHealthOptions) {
    this.#options = options;
  }

  /** Adds a penalty of `weight` and returns how long to quarantine the host. */
  addPenalty(now: Milliseconds, weight: number, scale: number): Milliseconds {
    const { penaltyHalfLife, firstQuarantine, maximumQuarantine } = this.#options;
    this.#penalty = this.#penalty * 0.5 ** ((now - this.#updatedAt) / penaltyHalfLife) + weight;
    this.#updatedAt = now;
    if (this.#penalty < suppressionThreshold) {
      return 0;
    }
    return Math.min(maximumQuarantine, firstQuarantine * scale * 2 ** (this.#penalty - 2));
  }
}

/** Below this penalty a host is treated as one that just restarted. */
const suppressionThreshold = 1.5;

/**
 * Scales the quarantine by the policy.
 * A flapping host breaks its group each time, which costs downtime; a quarantined host is stranded capacity.
 */
export function computeQuarantineScale(policy: Policy): number {
  const { groupDowntimeWeight, strandedAcceleratorWeight } = policy;
  const ratio = groupDowntimeWeight / Math.max(strandedAcceleratorWeight, Number.EPSILON);
  return Math.min(maximumScale, Math.max(minimumScale, Math.sqrt(ratio)));
}

const maximumScale = 4;
const minimumScale = 0.25;
