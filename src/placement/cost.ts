import type { Policy } from '../model/index.js';
import type { PlacementEstimates, PlacementHost } from './types.js';
import { groupByFabricDomain } from './working-plan.js';

/** Weighs what the policy's two weights pull apart. */

/** What a group across fabric domains is worth of one within: it answers, but slowly. */
export const acrossFabricValue = 0.5;

/**
 * Whether spares of several fabric domains are better used as one more, slower group than kept as spares.
 *
 * Gain, per second: the accelerators no longer stranded, and the downtime of the group that should serve and does not;
 * both at the value of a group across fabric domains. A declaration without a number of groups wants all that its
 * hosts allow: taking these as optional cost a fifth more group downtime (docs/measurements/groups.md).
 * Loss, per second: the downtime of the groups in those fabric domains that lose a host while no spare is left there.
 */
export function isWorthForming(
  members: readonly PlacementHost[],
  sparesByDomain: ReadonlyMap<string, readonly PlacementHost[]>,
  groupHostsByDomain: ReadonlyMap<string, number>,
  policy: Policy,
  estimates: PlacementEstimates,
): boolean {
  const strandedGain = policy.strandedAcceleratorWeight * members.length;
  const gain = acrossFabricValue * (strandedGain + policy.groupDowntimeWeight);
  let extraDowntime = 0;
  for (const [domain, taken] of groupByFabricDomain(members)) {
    const spares = sparesByDomain.get(domain)?.length ?? 0;
    const mean = (groupHostsByDomain.get(domain) ?? 0) * estimates.hostUnavailability;
    extraDowntime += expectExcess(mean, spares - taken.length) - expectExcess(mean, spares);
  }
  return gain > policy.groupDowntimeWeight * extraDowntime;
}

/** Expected number of losses beyond the spares, for losses that are Poisson distributed. */
export function expectExcess(mean: number, spares: number): number {
  let probability = Math.exp(-mean);
  let excess = mean;
  // E[(X - s)+] = E[X] - sum over k < s of P(X > k).
  let cumulative = 0;
  for (let count = 0; count < spares; count += 1) {
    cumulative += probability;
    excess -= 1 - cumulative;
    probability *= mean / (count + 1);
  }
  return Math.max(0, excess);
}
