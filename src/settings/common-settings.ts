import { z } from 'zod';

import { formatAddress, splitAddress } from '../common/index.js';
import { listenAddress, reachableAddress } from './address.js';

/** Settings that several processes share. */

/** Names of hosts, regions and domains. */
export const placeName = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
    'expected letters, digits, dots and hyphens, 63 at most',
  );

/** The control hosts that a process may ask, in order of preference. */
export const controlAddresses = z.array(reachableAddress).min(1).readonly();

/**
 * Control hosts that are known by an address of another of their listeners: the IP number of each, at the port on which control
 * hosts serve processes of the system. The IP number is also the name of such a control host.
 */
export const requiredSeedSettings = z
  .strictObject({
    addresses: z.array(reachableAddress).min(1).readonly(),
    port: z.int().min(1).max(65_535),
  })
  .readonly();

export const seedSettings = requiredSeedSettings.optional();

/** Control hosts that the seeds stand for; the same one named twice stands once. */
export function listSeeds(
  seeds: z.infer<typeof seedSettings>,
): readonly { readonly name: string; readonly address: string }[] {
  const hosts = (seeds?.addresses ?? []).map((address) => splitAddress(address).host);
  return [...new Set(hosts)].map((host) => {
    return { name: host, address: formatAddress(host, seeds?.port ?? 0) };
  });
}

/** Adds the addresses of the control hosts that the seeds of these settings stand for. */
export function addControlAddresses<
  Settings extends { readonly seeds: z.infer<typeof requiredSeedSettings> },
>(settings: Settings): Settings & { readonly control: readonly string[] } {
  return { ...settings, control: listSeeds(settings.seeds).map(({ address }) => address) };
}

export const logSettings = z
  .strictObject({
    level: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal', 'silent']).default('info'),
  })
  .readonly()
  .prefault({});

/** Where metrics are sent, by UDP in the format of StatsD; undefined for nowhere. */
export const metricsSettings = z
  .strictObject({
    host: z.union([z.ipv4(), z.ipv6()], 'expected an IP number'),
    port: z.int().min(1).max(65_535),
  })
  .readonly()
  .optional()
  .transform((settings) => settings);

/** Where metrics are served as text; undefined for nowhere. */
export const metricsPageSettings = listenAddress.optional();

/** How a process stops. */
export const shutdownSettings = z
  .strictObject({
    /** Time during which the process still takes work after it has said that it is leaving. */
    graceMilliseconds: z.int().min(0).max(600_000).default(2000),
    /** Time after which what is still in flight is ended with an error. */
    hardLimitMilliseconds: z.int().min(0).max(3_600_000).default(600_000),
  })
  .readonly()
  .prefault({});
