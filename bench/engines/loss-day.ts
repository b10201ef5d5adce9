import { createRandomSource, type Milliseconds } from '../../src/common/index.js';
import type { EngineProfile } from '../../src/routing/index.js';
import { EngineSimulation } from '../../__tests__/engines/engine-simulation.js';

/** A minute in which an engine of a group is lost for good every three seconds, a fabric domain once, and empty engines come. */

/** Part of the slots of a group that can be taken while answers are still in time. */
const usefulShare = 0.85;
const calm: Milliseconds = 12_000;
const day: Milliseconds = 46_000;
const lossInterval: Milliseconds = 3000;
const domainLostFor: Milliseconds = 7700;
const arrivalsFrom: Milliseconds = 12_000;
const sampleInterval: Milliseconds = 100;

/** The engines of a deployment and what happens to them. */
export interface LossDay {
  readonly seed: number;
  readonly profile: EngineProfile;
  readonly domainSize: number;
  /** Concurrent requests by model, on a usual day. */
  readonly demand: ReadonlyMap<string, number>;
  /** When a whole fabric domain is lost for a while; undefined for never. */
  readonly domainLostAt: Milliseconds | undefined;
}

/** What a day served. */
export interface DayResult {
  /** Part of the requests of each model that found a place in time. */
  readonly served: ReadonlyMap<string, number>;
  /** Mean part of the engines that were in no open group. */
  readonly idle: number;
  readonly violations: number;
}

const domains = ['d0', 'd1', 'd2'];

export function playLossDay(options: LossDay): DayResult {
  const { seed, profile, domainSize, demand } = options;
  const random = createRandomSource(seed);
  const world = new EngineSimulation({
    random,
    hostCount: domains.length * domainSize,
    domainSize,
    lateOrderShare: 0.02,
    demand,
    profile,
  });
  world.run(calm);
  world.hasTraffic = true;
  const startedAt = world.now;
  const domainLoss = new DomainLoss(options.domainLostAt);
  const sums = new Map([...demand.keys()].map((model) => [model, 0]));
  let idle = 0;
  for (let at = 0; at < day; at += sampleInterval) {
    strike(world, at, random.fraction());
    domainLoss.strike(world, at);
    world.run(sampleInterval);
    const whole = world.openGroups.filter((group) => isWhole(world, group));
    for (const [model, wanted] of demand) {
      const groups = whole.filter((group) => group.model === model);
      const share = Math.min(1, (groups.length * profile.slots * usefulShare) / wanted);
      sums.set(model, (sums.get(model) ?? 0) + share);
    }
    const alive = world.hosts.filter(({ engine }) => engine.isAlive).length;
    idle += 1 - whole.reduce((sum, { members }) => sum + members.length, 0) / alive;
  }
  const samples = (world.now - startedAt) / sampleInterval;
  const served = new Map([...sums].map(([model, sum]) => [model, sum / samples]));
  return { served, idle: idle / samples, violations: world.violations.length };
}

function isWhole(world: EngineSimulation, group: EngineSimulation['openGroups'][number]): boolean {
  return group.members.every(({ instance }) =>
    world.hosts.some(({ engine }) => engine.isAlive && engine.instance === instance.id),
  );
}

/** What happens at this moment of the day. */
function strike(world: EngineSimulation, at: Milliseconds, draw: number): void {
  const number = Math.floor(at / lossInterval);
  const domain = domains[number % domains.length] ?? '';
  const isDue = at % lossInterval === 0 && at > 0;
  if (isDue) {
    loseMember(world, domain, draw);
  }
  if (isDue && at >= arrivalsFrom) {
    world.addHost(domain);
  }
}

/** Loses all engines of a domain for a while; those that were lost for good before do not come back. */
class DomainLoss {
  readonly #lostAt: Milliseconds | undefined;
  #lost: readonly EngineSimulation['hosts'][number][] = [];

  constructor(lostAt: Milliseconds | undefined) {
    this.#lostAt = lostAt;
  }

  strike(world: EngineSimulation, at: Milliseconds): void {
    if (this.#lostAt === undefined) {
      return;
    }
    if (at === this.#lostAt) {
      this.#lost = world.hosts.filter(
        ({ domain, engine }) => domain === domains[0] && engine.isAlive,
      );
      this.#lost.forEach((host) => {
        world.killEngine(host);
      });
    }
    if (at === this.#lostAt + domainLostFor) {
      this.#lost.forEach((host) => {
        world.restartEngine(host);
      });
    }
  }
}

function loseMember(world: EngineSimulation, domain: string, draw: number): void {
  const members = new Set(
    world.openGroups.flatMap((group) => group.members.map(({ instance }) => instance.id)),
  );
  const there = world.hosts.filter((host) => {
    return host.domain === domain && members.has(host.engine.instance) && host.engine.isAlive;
  });
  const host = there[Math.floor(draw * there.length)];
  if (host !== undefined) {
    world.killEngine(host);
  }
}
