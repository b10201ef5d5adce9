import { createRandomSource, type Milliseconds } from '../../src/common/index.js';
import { EngineSimulation } from '../../__tests__/engines/engine-simulation.js';

/** A minute in which an engine of a group is lost for good every three seconds, a fabric domain once, and empty engines come. */

const slots = 24;
/** Part of the slots of a group that can be taken while answers are still in time. */
const usefulShare = 0.85;
const domains = ['d0', 'd1', 'd2'];
const domainSize = 10;
const calm: Milliseconds = 12_000;
const day: Milliseconds = 46_000;
const lossInterval: Milliseconds = 3000;
const domainLostAt: Milliseconds = 11_000;
const domainLostFor: Milliseconds = 7700;
const arrivalsFrom: Milliseconds = 12_000;
const sampleInterval: Milliseconds = 100;

/** What a day served. */
export interface DayResult {
  /** Part of the requests of each model that found a place in time. */
  readonly served: ReadonlyMap<string, number>;
  readonly violations: number;
}

export function playLossDay(seed: number, demand: ReadonlyMap<string, number>): DayResult {
  const random = createRandomSource(seed);
  const hostCount = domains.length * domainSize;
  const world = new EngineSimulation({
    random,
    hostCount,
    domainSize,
    lateOrderShare: 0.02,
    demand,
  });
  world.run(calm);
  world.hasTraffic = true;
  const startedAt = world.now;
  const domainLoss = new DomainLoss();
  const sums = new Map([...demand.keys()].map((model) => [model, 0]));
  for (let at = 0; at < day; at += sampleInterval) {
    strike(world, at, random.fraction());
    domainLoss.strike(world, at);
    world.run(sampleInterval);
    for (const [model, wanted] of demand) {
      const groups = world.openGroups.filter(
        (group) => group.model === model && isWhole(world, group),
      );
      const share = Math.min(1, (groups.length * slots * usefulShare) / wanted);
      sums.set(model, (sums.get(model) ?? 0) + share);
    }
  }
  const samples = (world.now - startedAt) / sampleInterval;
  const served = new Map([...sums].map(([model, sum]) => [model, sum / samples]));
  return { served, violations: world.violations.length };
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
  #lost: readonly EngineSimulation['hosts'][number][] = [];

  strike(world: EngineSimulation, at: Milliseconds): void {
    if (at === domainLostAt) {
      this.#lost = world.hosts.filter(
        ({ domain, engine }) => domain === domains[0] && engine.isAlive,
      );
      this.#lost.forEach((host) => {
        world.killEngine(host);
      });
    }
    if (at === domainLostAt + domainLostFor) {
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
