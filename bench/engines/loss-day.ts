import { createRandomSource, type Milliseconds } from '../../src/common/index.js';
import { DemandEstimator, ModelOutcomes } from '../../src/control/routing/index.js';
import type { ModelOutcome } from '../../src/engines/index.js';
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
  readonly burst?: Burst | undefined;
  /** Whether planning weighs models by what their callers lose. */
  readonly weighsLosses: boolean;
  /** Most urgent priority of the requests for each model. */
  readonly priorities: ReadonlyMap<string, number>;
}

/** More requests for a model for a while. */
export interface Burst {
  readonly model: string;
  readonly factor: number;
  readonly from: Milliseconds;
  readonly until: Milliseconds;
}

/** What a day served. */
export interface DayResult {
  /** Part of the requests of each model that found a place in time. */
  readonly served: ReadonlyMap<string, number>;
  /** Mean part of the engines that were in no open group. */
  readonly idle: number;
  /** Groups that were drained for another model. */
  readonly exchanges: number;
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
  const callers = new Callers(options);
  const domainLoss = new DomainLoss(options.domainLostAt, seed);
  const sums = new Map([...demand.keys()].map((model) => [model, 0]));
  let idle = 0;
  for (let at = 0; at < day; at += sampleInterval) {
    strike(world, at, random.fraction());
    domainLoss.strike(world, at);
    const demandNow = callers.findDemand(at);
    world.run(sampleInterval);
    const whole = world.openGroups.filter((group) => isWhole(world, group));
    const shares = new Map<string, number>();
    for (const [model, wanted] of demandNow) {
      const groups = whole.filter((group) => group.model === model);
      const share = Math.min(1, (groups.length * profile.slots * usefulShare) / wanted);
      sums.set(model, (sums.get(model) ?? 0) + share);
      shares.set(model, share);
    }
    callers.report(world, demandNow, shares);
    const alive = world.hosts.filter(({ engine }) => engine.isAlive).length;
    idle += 1 - whole.reduce((sum, { members }) => sum + members.length, 0) / alive;
  }
  const samples = (world.now - startedAt) / sampleInterval;
  const served = new Map([...sums].map(([model, sum]) => [model, sum / samples]));
  return {
    served,
    idle: idle / samples,
    exchanges: world.exchangeLog.length,
    violations: world.violations.length,
  };
}

function isWhole(world: EngineSimulation, group: EngineSimulation['openGroups'][number]): boolean {
  return group.members.every(({ instance }) =>
    world.hosts.some(({ engine }) => engine.isAlive && engine.instance === instance.id),
  );
}

/** Callers of the models, and what a gateway reports of them. */
class Callers {
  readonly #options: LossDay;
  readonly #estimator = new DemandEstimator();
  readonly #outcomes = new ModelOutcomes();

  constructor(options: LossDay) {
    this.#options = options;
  }

  /** Concurrent requests that callers want to run. */
  findDemand(at: Milliseconds): ReadonlyMap<string, number> {
    const { demand, burst } = this.#options;
    return new Map(
      [...demand].map(([model, usual]) => {
        const isBurst = model === burst?.model && at >= burst.from && at < burst.until;
        return [model, isBurst ? usual * burst.factor : usual];
      }),
    );
  }

  /** The leader knows the demand as smoothed by the estimator, and the outcomes of the last seconds. */
  report(
    world: EngineSimulation,
    demand: ReadonlyMap<string, number>,
    shares: ReadonlyMap<string, number>,
  ): void {
    this.#estimator.recordReport('gateway', demand, world.now);
    world.demand = this.#estimator.estimate(world.now);
    if (!this.#options.weighsLosses) {
      return;
    }
    const outcomes = [...demand].map(([model, wanted]): [string, ModelOutcome] => {
      const inTime = wanted * (shares.get(model) ?? 0);
      const priority = this.#options.priorities.get(model) ?? 1;
      return [model, { inTime, late: 0, refused: wanted - inTime, priority }];
    });
    this.#outcomes.recordReport(new Map(outcomes), world.now);
    world.outcomes = this.#outcomes.summarize(world.now);
  }
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
  /** Another one for each seed: the planner decides ties in favour of the first domain, so a fixed one would favour one rule. */
  readonly #domain: string | undefined;
  #lost: readonly EngineSimulation['hosts'][number][] = [];

  constructor(lostAt: Milliseconds | undefined, seed: number) {
    this.#lostAt = lostAt;
    this.#domain = domains[seed % domains.length];
  }

  strike(world: EngineSimulation, at: Milliseconds): void {
    if (this.#lostAt === undefined) {
      return;
    }
    if (at === this.#lostAt) {
      this.#lost = world.hosts.filter(
        ({ domain, engine }) => domain === this.#domain && engine.isAlive,
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
