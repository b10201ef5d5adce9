import type { RoutedService } from '../../routing/index.js';

/** Limits the connections of one gateway to one upstream, so that those of all gateways stay below what the upstream accepts. */

/** Gateways that may use many connections at the same time without exceeding the limit of the upstream. */
const busyGateways = 2;

/**
 * Each gateway may open an equal share. A group of engines gets no more requests from all gateways together than it has slots, or few more,
 * so a gateway that gets most of the requests for a while may use as many connections; with an equal share only, it could not fill the group.
 */
export function findConnectionLimit(service: RoutedService, gateways: number): number {
  const { maximumConnections, engine } = service;
  const equalShare = Math.floor(maximumConnections / gateways);
  const forSlots = Math.min(engine?.slots ?? 0, Math.floor(maximumConnections / busyGateways));
  return Math.max(equalShare, forSlots);
}
