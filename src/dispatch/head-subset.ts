/** Chooses the subset of targets that a gateway prefers if many gateways share many targets; performs no I/O. */

/** Position of a gateway among those that share upstreams. */
export interface GatewayPosition {
  /** Number of all gateways, including this one. */
  readonly gateways: number;
  /** Index of this gateway in an order that all agree on; starts at 0. */
  readonly position: number;
}

/** Gateways that share a head. So few that each usually has requests in flight there, and knows its load from the responses. */
const gatewaysPerHead = 5;
/** With fewer heads, a gateway would have no choice left when some are full or gone. */
const minimumHeads = 4;
/** The fractional parts of its multiples are evenly distributed for any number of them. */
const goldenRatio = (Math.sqrt(5) - 1) / 2;

/**
 * Returns the targets that the gateway tries first: all of them if there are few gateways or its position is unknown.
 * Load pattern: tens of gateways share tens of heads, the first members of groups, and each sends a given head a request every few seconds.
 * Without knowledge of the others' requests, each gateway chooses any head to which it has sent none itself, so some heads are overloaded
 * while others have free capacity. A gateway that keeps to a subset knows its load and fills it evenly; subsets that cover each head
 * equally often balance the heads as a whole.
 */
export function choosePreferredTargets(
  keys: readonly string[],
  ownPosition: GatewayPosition | undefined,
): ReadonlySet<string> {
  if (ownPosition === undefined) {
    return new Set(keys);
  }
  const { position } = ownPosition;
  const size = countPreferred(keys.length, ownPosition);
  if (size === keys.length) {
    return new Set(keys);
  }
  const sorted = [...keys].sort();
  const spacing = sorted.length / size;
  const offset = ((position * goldenRatio) % 1) * spacing;
  const chosen = Array.from({ length: size }, (_, index) => {
    return sorted[Math.floor(offset + index * spacing)] ?? '';
  });
  return new Set(chosen);
}

/** Mean number of gateways that prefer the same target; 1 if the position is unknown. */
export function countSharers(targets: number, ownPosition: GatewayPosition | undefined): number {
  return ownPosition === undefined || targets === 0
    ? 1
    : (ownPosition.gateways * countPreferred(targets, ownPosition)) / targets;
}

function countPreferred(targets: number, { gateways }: GatewayPosition): number {
  const wanted = Math.ceil((gatewaysPerHead * targets) / gateways);
  return Math.min(targets, Math.max(minimumHeads, wanted));
}
