import { z } from 'zod';

import { parseAddress } from '../common/index.js';

/** Schemas for addresses in settings. */

const unspecifiedHosts: readonly string[] = ['0.0.0.0', '::'];
const expectedAddress =
  'expected an IP number with a port, such as 10.0.0.7:8400 or [fd00::7]:8400';

/** An address on which a process listens; may be all interfaces. */
export const listenAddress = z
  .string()
  .refine((text) => parseAddress(text) !== undefined, expectedAddress);

/**
 * An address that is announced to other hosts.
 * Must not be the unspecified address (0.0.0.0 or ::): other hosts would connect to themselves and reach the wrong process or
 * none.
 */
export const reachableAddress = listenAddress.refine(
  (text) => !unspecifiedHosts.includes(parseAddress(text)?.host ?? ''),
  'expected the IP number by which other hosts reach this one, not all interfaces',
);
