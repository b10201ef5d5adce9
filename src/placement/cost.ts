import type { Policy } from '../model/index.js';
import type { PlacementEstimates, PlacementHost } from './types.js';
import { groupByFabricDomain } from './working-plan.js';

/** Cost model for the trade-off between the policy's two weights: group downtime and stranded accelerators. */

/** Value of a group that spans fabric domains, relative to one within a domain; it works, but slowly. */
export const crossFabricValue = 0.5;

/**
 * Whether spares of several fabric domains are better used for one more, slower group than kept as spares.
 *
 * Gain per second: the accelerators no longer stranded, plus the avoided downtime of a wanted group, both scaled by the
 * value of a group that spans fabric domains. A declaration without a replica count wants as many groups as its hosts
 * allow; treating those groups as optional increased group downtime by a fifth (docs/measurements/groups.md).
 * Loss per second: the downtime of groups in those fabric domains that lose a host when no spare is left there.
 */
export function isWorthForming(
  members: readonly PlacementHost[],
  sparesByDomain: ReadonlyMap<string, readonly PlacementHost[]>,
  groupHostsByDomain: ReadonlyMap<string, number>,
  policy: Policy,
  estimates: PlacementEstimates,
): boolean {
  const strandedGain = policy.strandedAcceleratorWeight * members.length;
  const gain = crossFabricValue * (strandedGain + policy.groupDowntimeWeight);
  let extraDowntime = 0;
  for (const [domain, taken] of groupByFabricDomain(members)) {
    const spares = sparesByDomain.get(domain)?.length ?? 0;
    const mean = (groupHostsByDomain.get(domain) ?? 0) * estimates.hostUnavailability;
    extraDowntime += expectedExcess(mean, spares - taken.length) - expectedExcess(mean, spares);
  }
  return gain > policy.groupDowntimeWeight * extraDowntime;
}

/** Expected number of lost hosts in excess of the spares, for Poisson-distributed losses. */
export function expectedExcess(mean: number, spares: number): number {
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
