import { createRandomSource, type RandomSource } from '../../src/common/index.js';

/** Seeded traces of losses, in seconds, from the kinds of failure that the system has to stand. */

export interface BenchHost {
  readonly failureDomain: string;
  readonly fabricDomain: string;
  readonly region: string;
}

/** A deployment to replay. */
export interface Fleet {
  readonly label: string;
  readonly hosts: readonly (BenchHost & { readonly name: string })[];
  readonly replicaSize: number;
  readonly days: number;
  /** Loads that the weight store serves at full rate. */
  readonly concurrentLoads: number;
}

/** A host is down from `at` for `duration`; a silent one closes no connection. */
export interface Loss {
  readonly at: number;
  readonly duration: number;
  readonly host: number;
  readonly isSilent: boolean;
  readonly losesWeights: boolean;
}

export interface Trace {
  readonly seconds: number;
  readonly losses: readonly Loss[];
  /** Times at which control hears nobody for a while. */
  readonly watcherCuts: readonly { readonly at: number; readonly duration: number }[];
}

const day = 86_400;
const hour = 3600;
const failuresPerHostDay = 14 / 600;
const restartsPerHostDay = 340 / 600;
const freezesPerHostDay = 20 / 600;
const meanOutage = 4 * hour;
const meanRestart = 20;
const secondLossShare = 0.2;
const flapsInARow = 20;

/** Three failure domains of one fabric domain each, as both users have today. */
export function createTodaysFleet(label: string): Fleet {
  return {
    label,
    hosts: createHosts(30, 3, 10, 3),
    replicaSize: 4,
    days: 7,
    concurrentLoads: 8,
  };
}

/** 600 runners: 2 regions, 6 failure domains, 30 fabric domains of 20 hosts. */
export function createLargeFleet(): Fleet {
  return {
    label: '600 runners',
    hosts: createHosts(600, 6, 20, 3),
    replicaSize: 4,
    days: 1,
    concurrentLoads: 64,
  };
}

export function createTrace(fleet: Fleet, seed: number): Trace {
  const random = createRandomSource(seed);
  const seconds = fleet.days * day;
  const losses = [
    ...createFailures(fleet, seconds, random),
    ...createRestarts(fleet, seconds, random),
    ...createFreezes(fleet, seconds, random),
    ...createFlaps(fleet, random),
    ...createDarkDomains(fleet, seconds, random),
  ].sort((left, right) => left.at - right.at);
  const watcherCuts = Array.from({ length: fleet.days }, (_, index) => ({
    at: index * day + random.integerBelow(day - hour),
    duration: 45,
  }));
  return { seconds, losses, watcherCuts };
}

function createFailures(fleet: Fleet, seconds: number, random: RandomSource): readonly Loss[] {
  const count = Math.round((fleet.hosts.length * failuresPerHostDay * seconds) / day);
  return Array.from({ length: count }, () => {
    const first = createFailure(
      random.integerBelow(seconds),
      random.integerBelow(fleet.hosts.length),
      random,
    );
    if (random.fraction() >= secondLossShare) {
      return [first];
    }
    // A second host of the same fabric domain is lost right after a repair.
    const neighbours = findNeighbours(fleet, first.host);
    const second = neighbours[random.integerBelow(neighbours.length)] ?? first.host;
    return [first, createFailure(first.at + 5 + random.integerBelow(15), second, random)];
  }).flat();
}

function createFailure(at: number, host: number, random: RandomSource): Loss {
  const duration = 600 + exponential(meanOutage, random);
  return { at, duration, host, isSilent: random.fraction() < 0.5, losesWeights: true };
}

function createRestarts(fleet: Fleet, seconds: number, random: RandomSource): readonly Loss[] {
  const count = Math.round((fleet.hosts.length * restartsPerHostDay * seconds) / day);
  return Array.from({ length: count }, () => ({
    at: random.integerBelow(seconds),
    duration: 5 + exponential(meanRestart, random),
    host: random.integerBelow(fleet.hosts.length),
    isSilent: false,
    losesWeights: random.fraction() < 0.5,
  }));
}

function createFreezes(fleet: Fleet, seconds: number, random: RandomSource): readonly Loss[] {
  const count = Math.round((fleet.hosts.length * freezesPerHostDay * seconds) / day);
  return Array.from({ length: count }, () => ({
    at: random.integerBelow(seconds),
    duration: 5 + random.integerBelow(55),
    host: random.integerBelow(fleet.hosts.length),
    isSilent: true,
    losesWeights: false,
  }));
}

/** One host a day comes and goes for an hour. */
function createFlaps(fleet: Fleet, random: RandomSource): readonly Loss[] {
  return Array.from({ length: fleet.days }, (_, index) => {
    const host = random.integerBelow(fleet.hosts.length);
    const start = index * day + random.integerBelow(day - hour);
    return Array.from({ length: flapsInARow }, (__, flap) => ({
      at: start + flap * 180,
      duration: 20,
      host,
      isSilent: false,
      losesWeights: false,
    }));
  }).flat();
}

/** A rack of four hosts for half an hour each day, and one failure domain for ten minutes in the whole trace. */
function createDarkDomains(fleet: Fleet, seconds: number, random: RandomSource): readonly Loss[] {
  const racks = Array.from({ length: fleet.days }, (_, index) => {
    const at = index * day + random.integerBelow(day - hour);
    const members = findNeighbours(fleet, random.integerBelow(fleet.hosts.length)).slice(0, 4);
    return darken(members, at, 1800);
  }).flat();
  const { failureDomain } = fleet.hosts[random.integerBelow(fleet.hosts.length)] ?? {
    failureDomain: '',
  };
  const domain = fleet.hosts.flatMap((host, index) =>
    host.failureDomain === failureDomain ? [index] : [],
  );
  return [...racks, ...darken(domain, random.integerBelow(seconds - hour), 600)];
}

function darken(hosts: readonly number[], at: number, duration: number): readonly Loss[] {
  return hosts.map((host) => ({ at, duration, host, isSilent: true, losesWeights: true }));
}

function findNeighbours(fleet: Fleet, host: number): readonly number[] {
  const fabric = fleet.hosts[host]?.fabricDomain;
  return fleet.hosts.flatMap((other, index) =>
    other.fabricDomain === fabric && index !== host ? [index] : [],
  );
}

function createHosts(
  count: number,
  domains: number,
  fabricSize: number,
  domainsPerRegion: number,
): Fleet['hosts'] {
  return Array.from({ length: count }, (_, index) => {
    const domain = Math.floor(index / (count / domains));
    return {
      name: `host-${String(index).padStart(3, '0')}`,
      failureDomain: `domain-${domain}`,
      fabricDomain: `fabric-${Math.floor(index / fabricSize)}`,
      region: `region-${Math.floor(domain / domainsPerRegion)}`,
    };
  });
}

function exponential(mean: number, random: RandomSource): number {
  return Math.round(-mean * Math.log(1 - random.fraction()));
}
