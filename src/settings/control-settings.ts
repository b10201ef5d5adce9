import { isIP } from 'node:net';

import { z } from 'zod';

import { formatAddress } from '../common/index.js';

import { reachableAddress } from './address.js';
import {
  createInboundSettingsWithCalls,
  listSeedHosts,
  logSettings,
  mebibyte,
  metricsPageSettings,
  metricsSettings,
  nameSchema,
  seedSettings,
  shutdownSettings,
} from './common-settings.js';

const maximumVoterCount = 7;
const maximumToleratedLosses = (maximumVoterCount - 1) / 2;

const voter = z.strictObject({ name: nameSchema, address: reachableAddress }).readonly();

const voters = z
  .array(voter)
  .max(maximumVoterCount)
  .readonly()
  .superRefine((list, context) => {
    list.forEach((candidate, index) => {
      const first = list.findIndex(
        (other) => other.name === candidate.name || other.address === candidate.address,
      );
      if (first !== index) {
        const message = `expected names and addresses that differ, but [${first}] has the same`;
        context.addIssue({ code: 'custom', path: [index], message });
      }
    });
  });

/** Timeouts of the replicated log. The defaults suit failure domains with a latency of a few milliseconds between them. */
const timeouts = z
  .strictObject({
    /** Interval between heartbeats of the leader. */
    heartbeatMilliseconds: z.int().min(10).max(10_000).default(250),
    /** Minimum election timeout: time without a heartbeat of the leader before an election. The maximum is twice as long. */
    electionMilliseconds: z.int().min(50).max(60_000).default(1000),
    /** Longest wait for a change to be committed; after it, the submitter is told that the outcome is uncertain. */
    commitMilliseconds: z.int().min(100).max(60_000).default(5000),
    /** Interval between heartbeats on an idle watch stream. */
    watchHeartbeatMilliseconds: z.int().min(100).max(60_000).default(1000),
    /** An announced instance that has not reported for this long gets no new requests. */
    instanceSilenceMilliseconds: z.int().min(100).max(600_000).default(5000),
  })
  .readonly()
  .prefault({})
  .refine(
    (times) => times.electionMilliseconds >= 3 * times.heartbeatMilliseconds,
    'expected electionMilliseconds of at least three times heartbeatMilliseconds',
  );

/** Evacuations of failure domains; absent where operators do not order any. */
const evacuation = z
  .strictObject({
    /** All failure domains of the deployment; orders for other ones are refused. */
    failureDomains: z.array(nameSchema).readonly(),
    /** Time from the acknowledgement of an evacuation after which gateways send nothing to the domain; only shown to operators. */
    limitMilliseconds: z.int().min(1).max(600_000),
  })
  .readonly()
  .optional();

const planning = z
  .strictObject({
    /** Whether engines that are too few go to the models whose callers lose most, not to those with the lowest share of capacity. */
    weighLosses: z.boolean().default(false),
  })
  .readonly()
  .prefault({});

/** Settings of pistachiospoke-control. */
export const controlSettingsSchema = z
  .strictObject({
    /** Unique among control hosts. */
    name: nameSchema,
    region: nameSchema,
    failureDomain: nameSchema,
    listen: reachableAddress,
    /** Initial voters of a new cluster, including this host. Later changes of the voters are in the log. */
    voters: voters.default([]),
    /** Initial voters given by the addresses of another listener. */
    seeds: seedSettings,
    /** Folder for the log and snapshots, relative to the working directory of the process. */
    dataFolder: z.string().min(1),
    /** Number of control hosts whose disks may be lost at once. Requires 2n + 1 voters, as soon as there are enough control hosts. */
    toleratedLosses: z.int().min(0).max(maximumToleratedLosses).default(1),
    evacuation,
    timeouts,
    planning,
    inbound: createInboundSettingsWithCalls({
      memoryBytes: 32 * mebibyte,
      connections: 1024,
      calls: 1024,
    }),
    shutdown: shutdownSettings,
    log: logSettings,
    metrics: metricsSettings,
    metricsPage: metricsPageSettings,
  })
  .readonly()
  .refine(
    ({ voters: named, seeds }) => named.length > 0 || seeds !== undefined,
    'expected voters or seeds',
  )
  .transform((settings) => ({
    ...settings,
    voters: [...settings.voters, ...listSeedHosts(settings.seeds)],
  }));

/** Target number of voters of the log. Silent voters are removed only while there are more than this. */
export function countWantedVoters({ voters: first, toleratedLosses }: ControlSettings): number {
  return Math.max(first.length, 2 * toleratedLosses + 1);
}

export type ControlSettings = z.infer<typeof controlSettingsSchema>;

/**
 * Address of a control host: the one in the settings or, if control hosts are given by seeds, the IP address that is its name.
 * This also finds hosts that join later. Undefined for a name from which no address follows.
 */
export function findControlAddress(settings: ControlSettings, name: string): string | undefined {
  const voter = settings.voters.find((candidate) => candidate.name === name);
  if (voter !== undefined || settings.seeds === undefined || isIP(name) === 0) {
    return voter?.address;
  }
  return formatAddress(name, settings.seeds.port);
}
