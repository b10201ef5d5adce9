import { isIP } from 'node:net';

import { z } from 'zod';

import { formatAddress } from '../common/index.js';

import { reachableAddress } from './address.js';
import {
  listSeeds,
  logSettings,
  metricsPageSettings,
  metricsSettings,
  placeName,
  seedSettings,
  shutdownSettings,
} from './common-settings.js';

const highestVoterCount = 7;
const mostToleratedLosses = (highestVoterCount - 1) / 2;

const voter = z.strictObject({ name: placeName, address: reachableAddress }).readonly();

const voters = z
  .array(voter)
  .max(highestVoterCount)
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

/** Times of the replicated log; the defaults suit domains that are a few milliseconds apart. */
const timeouts = z
  .strictObject({
    /** Between two signs of life from the leader. */
    heartbeatMilliseconds: z.int().min(10).max(10_000).default(250),
    /** Shortest silence of the leader before an election; the longest is twice that. */
    electionMilliseconds: z.int().min(50).max(60_000).default(1000),
    /** Longest wait for a change to be committed before its submitter is told that it is uncertain. */
    commitMilliseconds: z.int().min(100).max(60_000).default(5000),
    /** Between two signs of life on a quiet watch. */
    watchHeartbeatMilliseconds: z.int().min(100).max(60_000).default(1000),
    /** An instance that announced itself and is not heard of for this long gets no new requests. */
    instanceSilenceMilliseconds: z.int().min(100).max(600_000).default(5000),
  })
  .readonly()
  .prefault({})
  .refine(
    (times) => times.electionMilliseconds >= 3 * times.heartbeatMilliseconds,
    'expected electionMilliseconds of at least three times heartbeatMilliseconds',
  );

/** Settings of pistachiospoke-control. */
export const controlSettingsSchema = z
  .strictObject({
    /** Unique among control hosts. */
    name: placeName,
    region: placeName,
    failureDomain: placeName,
    listen: reachableAddress,
    /** The voters that a first start forms from, this host included; later ones are in the log. */
    voters: voters.default([]),
    /** Voters of a first start that are known by the addresses of another listener. */
    seeds: seedSettings,
    /** Folder for the log and the snapshots; relative to the folder in which the process is started. */
    dataFolder: z.string().min(1),
    /** Control hosts whose disks may be lost at once. Twice as many and one more have to vote, as soon as there are as many. */
    toleratedLosses: z.int().min(0).max(mostToleratedLosses).default(1),
    timeouts,
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
    voters: [...settings.voters, ...listSeeds(settings.seeds)],
  }));

/** Voters that the log is to have; fewer are kept as they are. */
export function countWantedVoters({ voters: first, toleratedLosses }: ControlSettings): number {
  return Math.max(first.length, 2 * toleratedLosses + 1);
}

export type ControlSettings = z.infer<typeof controlSettingsSchema>;

/**
 * Where a control host is reached: as the settings name it, or, where control hosts are known by seeds, at its IP number, which is
 * its name. So hosts that are taken in later are reached as well. Undefined for a name that says no address.
 */
export function findControlAddress(settings: ControlSettings, name: string): string | undefined {
  const voter = settings.voters.find((candidate) => candidate.name === name);
  if (voter !== undefined || settings.seeds === undefined || isIP(name) === 0) {
    return voter?.address;
  }
  return formatAddress(name, settings.seeds.port);
}
