/** Tells which targets a gateway prefers where many gateways share many; free of I/O. */

/** Where a gateway stands among those that share upstreams. */
export interface GatewayPlace {
  /** All of them, this one included. */
  readonly gateways: number;
  /** Of this one in an order that all agree on; from 0. */
  readonly position: number;
}

/** So few gateways share a head that each of them has requests there at most times, and knows its load from their answers. */
const gatewaysOfHead = 5;
/** Fewer would leave a gateway without a choice when some are full or gone. */
const fewestHeads = 4;
/** Multiples of it, without their whole parts, are spread evenly however many there are. */
const goldenRatio = (Math.sqrt(5) - 1) / 2;

/**
 * Targets that the gateway sends to first; all of them where there are few gateways, or its place is not known.
 * Load pattern: tens of gateways share tens of heads, and each sends a given head a request every few seconds. Knowing nothing of the others'
 * requests, each takes any head that it has none at itself: some get more than they can work on while others have room. Keeping to a part
 * of the heads, a gateway fills them evenly; parts that cover each head as often as any other keep the heads even among themselves.
 */
export function choosePreferred(
  keys: readonly string[],
  place: GatewayPlace | undefined,
): ReadonlySet<string> {
  if (place === undefined) {
    return new Set(keys);
  }
  const { gateways, position } = place;
  const wanted = Math.ceil((gatewaysOfHead * keys.length) / gateways);
  const size = Math.min(keys.length, Math.max(fewestHeads, wanted));
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
