import { z } from 'zod';

import { parseAddress } from '../common/index.js';

/** Addresses in settings. */

const unspecifiedHosts: readonly string[] = ['0.0.0.0', '::'];
const expectedAddress =
  'expected an IP number with a port, such as 10.0.0.7:8400 or [fd00::7]:8400';

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
