import { z } from 'zod';

import { formatAddress, parseAddressOrThrow } from '../common/index.js';
import { listenAddress, reachableAddress } from './address.js';

/** Settings shared by several processes. */

/** Names of hosts, processes, regions and domains. */
export const nameSchema = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
    'expected letters, digits, dots and hyphens, 63 at most',
  );

/** Addresses of the control hosts that a process may use, in order of preference. */
export const controlAddresses = z.array(reachableAddress).min(1).readonly();

/**
 * Control hosts given by the address of another of their listeners. Only the IP address is taken from it; `port` is the port on
 * which control hosts serve processes of the system. The IP address is also the name of such a control host.
 */
export const requiredSeedSettings = z
  .strictObject({
    addresses: z.array(reachableAddress).min(1).readonly(),
    port: z.int().min(1).max(65_535),
  })
  .readonly();

export const seedSettings = requiredSeedSettings.optional();

/** Lists the control hosts that the seeds refer to, without duplicates. */
export function listSeedHosts(
  seeds: z.infer<typeof seedSettings>,
): readonly { readonly name: string; readonly address: string }[] {
  const hosts = (seeds?.addresses ?? []).map((address) => parseAddressOrThrow(address).host);
  return [...new Set(hosts)].map((host) => {
    return { name: host, address: formatAddress(host, seeds?.port ?? 0) };
  });
}

/** Adds the addresses of the control hosts that the seeds refer to. */
export function addControlAddresses<
  Settings extends { readonly seeds: z.infer<typeof requiredSeedSettings> },
>(settings: Settings): Settings & { readonly control: readonly string[] } {
  return { ...settings, control: listSeedHosts(settings.seeds).map(({ address }) => address) };
}

export const logSettings = z
  .strictObject({
    level: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal', 'silent']).default('info'),
  })
  .readonly()
  .prefault({});

/** Address to which metrics are sent over UDP in the StatsD format; undefined to send none. */
export const metricsSettings = z
  .strictObject({
    host: z.union([z.ipv4(), z.ipv6()], 'expected an IP number'),
    port: z.int().min(1).max(65_535),
  })
  .readonly()
  .optional()
  .transform((settings) => settings);

/** Address on which metrics are served as text; undefined to serve none. */
export const metricsPageSettings = listenAddress.optional();

/** Bytes. */
export const mebibyte = 1024 * 1024;

/** Defaults of the settings that bound what clients take. */
interface InboundDefaults {
  readonly memoryBytes: number;
  readonly connections: number;
}

/** Settings that bound what the clients of a process take of its machine. */
export function createInboundSettings(defaults: InboundDefaults) {
  return z.strictObject(createInboundShape(defaults)).readonly().prefault({});
}

/** The same for a process that other processes of the system call. */
export function createInboundSettingsWithCalls({
  calls,
  ...defaults
}: InboundDefaults & { readonly calls: number }) {
  return z
    .strictObject({
      ...createInboundShape(defaults),
      /** Open calls of other processes; beyond it, the connection with most of them is closed. */
      calls: z.int().min(1).default(calls),
    })
    .readonly()
    .prefault({});
}

function createInboundShape({ memoryBytes, connections }: InboundDefaults) {
  return {
    /** Bytes of requests that are held for the clients of all ports together. One large request fits even if it exceeds this alone. */
    memoryBytes: z.int().min(1).default(memoryBytes),
    /** Open connections of one port; beyond it, those that wait for their client are closed, the longest first. */
    connections: z.int().min(1).default(connections),
  };
}

/** Settings for the graceful shutdown of a process. */
export const shutdownSettings = z
  .strictObject({
    /** Time for which the process still accepts work after it has announced that it is leaving. */
    graceMilliseconds: z.int().min(0).max(600_000).default(2000),
    /** Time after which requests still in flight are aborted with an error. */
    hardLimitMilliseconds: z.int().min(0).max(3_600_000).default(600_000),
  })
  .readonly()
  .prefault({});
