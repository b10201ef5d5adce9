import { isIP } from 'node:net';

import { z } from 'zod';

/** Addresses in settings: IP number and port, because hosts of the system find each other without names. */

/** An address taken apart, as sockets want it. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

const highestPort = 65_535;
const unspecifiedHosts: readonly string[] = ['0.0.0.0', '::'];
const expectedAddress =
  'expected an IP number with a port, such as 10.0.0.7:8400 or [fd00::7]:8400';

/** Takes `ip:port` or `[ip]:port` apart; undefined for anything else, host names included. */
export function parseAddress(text: string): SocketAddress | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  if (match === null) {
    return undefined;
  }
  const [, version6, version4, portText] = match;
  const host = version6 ?? version4 ?? '';
  const port = Number(portText);
  const isHostValid = isIP(host) === (version6 === undefined ? 4 : 6);
  return isHostValid && port >= 1 && port <= highestPort ? { host, port } : undefined;
}

/** Where a process listens; may be all interfaces. */
export const listenAddress = z
  .string()
  .refine((text) => parseAddress(text) !== undefined, expectedAddress);

/**
 * An address that other hosts are told to connect to.
 * Not all interfaces (0.0.0.0): others would connect to themselves and find the wrong process or none.
 */
export const reachableAddress = listenAddress.refine(
  (text) => !unspecifiedHosts.includes(parseAddress(text)?.host ?? ''),
  'expected the IP number by which other hosts reach this one, not all interfaces',
);
