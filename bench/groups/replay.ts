import type { Group, GroupHealth, HostFacts } from '../../src/model/index.js';
import { artifact, type Decision, type Strategy } from './strategies.js';
import type { BenchHost, Fleet, Loss, Trace } from './trace.js';

/**
 * Replays a trace of losses against a strategy in steps of one second: what is up, what is loaded, which groups are whole.
 * Only placement is decided for real; leases, loads and restarts take the times stated here.
 */

/** Time for which a restarted member grants nothing. */
const restartWait = 2;
/** From a decision to a whole group when all is loaded. */
const handover = 1;
/** After a silent loss the group's lease runs out within this time. */
const leaseSeconds = 2;
export const loadSeconds = 120;
const heartbeatSeconds = 2;

interface HostState {
  readonly index: number;
  facts: HostFacts;
  downUntil: number;
  lostAt: number;
  isSilentLoss: boolean;
  readyAt: number;
  isLoaded: boolean;
  /** Seconds of loading at full rate still to go; undefined while nothing loads. */
  toLoad: number | undefined;
  starts: number;
}

interface PlacedState {
  readonly group: Group;
  readonly members: readonly HostState[];
  readonly placedAt: number;
  isWhole: boolean;
  /** What its lead told control last. */
  said: string;
}

/** What a replay measures; times in seconds. */
export interface ReplayResult {
  /** Sum over time of groups that should serve and do not. */
  readonly groupDowntime: number;
  /** The part of it in which too few hosts were up for any placement to do better. */
  readonly unavoidable: number;
  /** Time without any whole group. */
  readonly noGroup: number;
  /** Sum over time of healthy hosts in no whole group. */
  readonly strandedHosts: number;
  /** Sum over time of whole groups that span fabric domains. */
  readonly acrossFabric: number;
  /** How often a group stopped being whole. */
  readonly losses: number;
  readonly loads: number;
  readonly placements: number;
  readonly millisecondsPerDecision: number;
}

export class Replay {
  readonly #fleet: Fleet;
  readonly #trace: Trace;
  readonly #strategy: Strategy;
  readonly #isAcross: boolean;
  readonly #wanted: number;
  readonly #hosts: readonly HostState[];
  readonly #byName: ReadonlyMap<string, HostState>;
  readonly #groups = new Map<string, PlacedState>();
  readonly #loading = new Set<HostState>();
  #nextLoss = 0;
  #fencingNumber = 0;
  #groupDowntime = 0;
  #unavoidable = 0;
  #noGroup = 0;
  #stranded = 0;
  #across = 0;
  #wholeBefore = 0;
  #losses = 0;
  #loads = 0;
  #placements = 0;
  #decisions = 0;
  #decisionTime = 0;

  /** Groups that should serve are as many as all hosts allow, within fabric domains or across them. */
  constructor(fleet: Fleet, trace: Trace, strategy: Strategy, isAcross: boolean) {
    this.#fleet = fleet;
    this.#trace = trace;
    this.#strategy = strategy;
    this.#isAcross = isAcross;
    this.#wanted = countPossible(fleet.hosts, fleet.replicaSize, isAcross);
    this.#hosts = fleet.hosts.map((host, index) => createState(host, index));
    this.#byName = new Map(this.#hosts.map((host) => [host.facts.host, host]));
  }

  run(): ReplayResult {
    // Everything starts placed and loaded; losses begin after the first minute.
    for (let now = -60; now < this.#trace.seconds; now += 1) {
      this.#step(now);
    }
    return {
      groupDowntime: this.#groupDowntime,
      unavoidable: this.#unavoidable,
      noGroup: this.#noGroup,
      strandedHosts: this.#stranded,
      acrossFabric: this.#across,
      losses: this.#losses,
      loads: this.#loads,
      placements: this.#placements,
      millisecondsPerDecision: this.#decisionTime / this.#decisions,
    };
  }

  #step(now: number): void {
    this.#lose(now);
    this.#load();
    const isHearing = !this.#trace.watcherCuts.some(
      ({ at, duration }) => now >= at && now < at + duration,
    );
    if (isHearing) {
      this.#hear(now);
    }
    const hasChanged = this.#judgeGroups(now, isHearing);
    const isDue = this.#strategy.tick(now * 1000);
    if (hasChanged || isDue || this.#hasLoaded) {
      this.#hasLoaded = false;
      this.#decide(now);
    }
    if (now >= 0) {
      this.#measure(now);
    }
  }

  #hasLoaded = false;

  #lose(now: number): void {
    const { losses } = this.#trace;
    for (
      let loss = losses[this.#nextLoss];
      loss !== undefined && loss.at <= now;
      loss = losses[this.#nextLoss]
    ) {
      this.#nextLoss += 1;
      this.#takeDown(loss, now);
    }
  }

  #takeDown(loss: Loss, now: number): void {
    const host = this.#hosts[loss.host];
    if (host === undefined) {
      return;
    }
    if (host.downUntil <= now) {
      host.lostAt = now;
      host.isSilentLoss = loss.isSilent;
    }
    host.downUntil = Math.max(host.downUntil, now + loss.duration);
    host.readyAt = host.downUntil + restartWait;
    host.starts += 1;
    if (loss.losesWeights) {
      host.isLoaded = false;
      host.toLoad = undefined;
      this.#loading.delete(host);
    }
    if (!loss.isSilent) {
      this.#strategy.noteClosed(host.facts.host, now * 1000);
    }
  }

  /** The weight store shares its rate among all loads. */
  #load(): void {
    const share = Math.min(1, this.#fleet.concurrentLoads / Math.max(1, this.#loading.size));
    for (const host of this.#loading) {
      host.toLoad = (host.toLoad ?? loadSeconds) - share;
      if (host.toLoad <= 0) {
        host.isLoaded = true;
        host.toLoad = undefined;
        this.#loading.delete(host);
        this.#hasLoaded = true;
      }
    }
  }

  #hear(now: number): void {
    const isBeat = now % heartbeatSeconds === 0;
    for (const host of this.#hosts) {
      const isBack = host.downUntil === now;
      if (host.downUntil <= now && (isBeat || isBack)) {
        host.facts = describeHost(host);
        this.#strategy.hear(host.facts, now * 1000);
      }
    }
  }

  /** Follows which groups are whole; what their leads say reaches control only while it hears. */
  #judgeGroups(now: number, isHearing: boolean): boolean {
    let hasChanged = false;
    for (const placed of this.#groups.values()) {
      this.#reload(placed, now);
      const missing = placed.members.filter((host) => !isVouching(host, now));
      const isWhole = missing.length === 0 && now >= placed.placedAt + handover;
      hasChanged ||= isWhole !== placed.isWhole;
      placed.isWhole = isWhole;
      const said = `${isWhole} ${missing.map(({ index }) => index).join()}`;
      const lead = placed.members[0];
      if (said !== placed.said && isHearing && lead !== undefined && lead.downUntil <= now) {
        placed.said = said;
        this.#strategy.noteHealth(describeHealth(placed, missing), now * 1000);
      }
    }
    return hasChanged;
  }

  #decide(now: number): void {
    const groups = [...this.#groups.values()].map(({ group }) => group);
    const start = performance.now();
    const decision = this.#strategy.decide(groups, now * 1000);
    this.#decisionTime += performance.now() - start;
    this.#decisions += 1;
    this.#apply(decision, now);
  }

  #apply({ place, dissolve }: Decision, now: number): void {
    dissolve.forEach((name) => this.#groups.delete(name));
    for (const placement of place) {
      this.#fencingNumber += 1;
      this.#placements += 1;
      const members = placement.members.flatMap(({ host }) => this.#byName.get(host) ?? []);
      const group = { ...placement, fencingNumber: this.#fencingNumber };
      this.#groups.set(group.name, { group, members, placedAt: now, isWhole: false, said: '' });
      members.forEach((host) => {
        this.#startLoad(host);
      });
    }
  }

  /** A member that returned without its weights is ordered to load them by its own sidecar. */
  #reload({ members }: PlacedState, now: number): void {
    for (const host of members) {
      if (!host.isLoaded && host.downUntil <= now) {
        this.#startLoad(host);
      }
    }
  }

  #startLoad(host: HostState): void {
    if (!host.isLoaded && host.toLoad === undefined) {
      host.toLoad = loadSeconds;
      this.#loads += 1;
      this.#loading.add(host);
    }
  }

  #measure(now: number): void {
    const whole = [...this.#groups.values()].filter((placed) => placed.isWhole);
    const serving = new Set(whole.flatMap(({ members }) => members));
    const up = this.#hosts.filter((host) => host.downUntil <= now).map(({ facts }) => facts);
    const possible = countPossible(up, this.#fleet.replicaSize, this.#isAcross);
    this.#unavoidable += this.#wanted - possible;
    this.#groupDowntime += Math.max(0, this.#wanted - whole.length);
    this.#noGroup += whole.length === 0 ? 1 : 0;
    this.#stranded += this.#hosts.filter(
      (host) => host.downUntil <= now && !serving.has(host),
    ).length;
    this.#across += whole.filter(isAcrossFabric).length;
    this.#losses += Math.max(0, this.#wholeBefore - whole.length);
    this.#wholeBefore = whole.length;
  }
}

/** As many groups as the hosts allow, within fabric domains or across them within a region. */
export function countPossible(
  hosts: readonly BenchHost[],
  replicaSize: number,
  isAcross: boolean,
): number {
  const sizes = new Map<string, number>();
  for (const { fabricDomain, region } of hosts) {
    const domain = isAcross ? region : fabricDomain;
    sizes.set(domain, (sizes.get(domain) ?? 0) + 1);
  }
  return [...sizes.values()].reduce((sum, size) => sum + Math.floor(size / replicaSize), 0);
}

function createState(host: Fleet['hosts'][number], index: number): HostState {
  const facts: HostFacts = {
    host: host.name,
    incarnation: `${host.name}/0`,
    address: host.name,
    region: host.region,
    failureDomain: host.failureDomain,
    fabricDomain: host.fabricDomain,
    accelerators: 8,
    labels: {},
    upstream: { type: 'engine', loaded: [artifact], checksFencingNumber: true },
    isHealthy: true,
    isDraining: false,
  };
  return {
    index,
    facts,
    downUntil: -Infinity,
    lostAt: -Infinity,
    isSilentLoss: false,
    readyAt: -Infinity,
    isLoaded: true,
    toLoad: undefined,
    starts: 0,
  };
}

function describeHost(host: HostState): HostFacts {
  const isChanged = host.facts.incarnation !== `${host.facts.host}/${host.starts}`;
  const wasLoaded = host.facts.upstream?.type === 'engine' && host.facts.upstream.loaded.length > 0;
  if (!isChanged && wasLoaded === host.isLoaded) {
    return host.facts;
  }
  return {
    ...host.facts,
    incarnation: `${host.facts.host}/${host.starts}`,
    upstream: {
      type: 'engine',
      loaded: host.isLoaded ? [artifact] : [],
      checksFencingNumber: true,
    },
  };
}

/** A silent loss is vouched for until the lease runs out; a returned member only after its wait, and once loaded. */
function isVouching(host: HostState, now: number): boolean {
  if (host.downUntil > now) {
    return host.isSilentLoss && now < host.lostAt + leaseSeconds;
  }
  return now >= host.readyAt && host.isLoaded;
}

function describeHealth(
  { group, isWhole }: PlacedState,
  missing: readonly HostState[],
): GroupHealth {
  return {
    group: group.name,
    fencingNumber: group.fencingNumber,
    isServing: isWhole,
    isDrained: false,
    missing: missing.map((host) => host.facts.host),
  };
}

function isAcrossFabric({ members }: PlacedState): boolean {
  return new Set(members.map((host) => host.facts.fabricDomain)).size > 1;
}
