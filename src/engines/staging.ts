import type { EngineModel, EngineProfile } from '../routing/index.js';
import { isWarm } from './available-engines.js';
import { chooseRestaging } from './restaging.js';
import type { AnsweringEngine, StagingOrder } from './types.js';

/** Chooses which weights hosts stage in addition to the model they serve. */

/**
 * Fraction of the loads that the weight store can run at full speed that is reserved for idle hosts. If engines are often lost and come
 * back without weights, the loads of serving hosts, which stage a second model, would delay all of them.
 */
const idleReserveShare = 0.8;

/** Input for choosing what to stage. */
export interface StagingInput {
  readonly profile: EngineProfile;
  /** All engines of the service that answer. */
  readonly engines: readonly AnsweringEngine[];
  /** Models of the groups that engines are members of, by host. */
  readonly groupModels: ReadonlyMap<string, string>;
  readonly hasTraffic: boolean;
  /** Whether the first groups are not placed yet. */
  readonly isSettling: boolean;
  readonly loadsAllowed: number;
  /** Models, by host, that were already ordered; these loads are already counted against the budget. */
  readonly pending: ReadonlyMap<string, string>;
  /** Fraction of the demand for a model that its groups can serve; absent if idle engines keep the weights that they have. */
  readonly coverageOf?: (model: EngineModel) => number;
}

/**
 * An engine that was ready in a group can rejoin with that model quickly, and its host keeps another model staged. So a host that stages
 * the model that it does not serve can switch to either in about a second.
 * Before the first request this costs almost nothing. Afterwards a load takes as long as ten replacements of a lost group, so idle hosts
 * come first, and no more loads begin than the weight store can run at full speed.
 */
export function chooseStaging(input: StagingInput): readonly StagingOrder[] {
  const { engines, hasTraffic, loadsAllowed, pending } = input;
  const idle = input.isSettling ? [] : chooseForIdle(input);
  const serving = engines.flatMap((engine) => chooseOtherModel(engine, input));
  const orders = [...idle, ...serving];
  if (!hasTraffic) {
    return orders;
  }
  const isPending = ({ host, model }: StagingOrder): boolean => pending.get(host) === model;
  const pendingOrders = orders.filter(isPending);
  const newIdle = idle.filter((order) => !isPending(order)).slice(0, loadsAllowed);
  const idleReserve = Math.ceil(input.profile.concurrentLoads * idleReserveShare);
  const remainingLoads = loadsAllowed - newIdle.length - idleReserve;
  const newServing = serving
    .filter((order) => !isPending(order))
    .slice(0, Math.max(0, remainingLoads));
  return [...pendingOrders, ...newIdle, ...newServing];
}

/**
 * Idle hosts without weights stage the model for which their fabric domain has the fewest spares for its members.
 * Load pattern: members of open groups are lost every few seconds. A group with a warm spare in its domain is whole again within a
 * second; without one, its other members stay idle until a load from the store ends.
 */
function chooseForIdle(input: StagingInput): readonly StagingOrder[] {
  const { profile, engines, groupModels, pending, coverageOf } = input;
  const spares = new SpareCounts(input);
  const idle = engines.filter(({ member: { host }, reading }) => {
    return !groupModels.has(host) && (!reading.isBusy || pending.has(host));
  });
  const restaged =
    coverageOf === undefined ? [] : chooseRestaging({ profile, idle, pending, coverageOf });
  const staged = idle
    .filter((engine) => !profile.models.some((model) => isWarm(engine, model)))
    .map(({ member: { host }, reading: { fabricDomain } }) => {
      const model = pending.get(host) ?? spares.findScarcest(fabricDomain).name;
      spares.add(fabricDomain, model);
      return { host, model };
    });
  return [...staged, ...restaged];
}

/** Members of groups and warm spares of each model in each fabric domain. */
class SpareCounts {
  readonly #models: readonly EngineModel[];
  readonly #members = new Map<string, number>();
  readonly #spares = new Map<string, number>();

  constructor({ profile, engines, groupModels }: StagingInput) {
    this.#models = profile.models;
    for (const engine of engines) {
      const { fabricDomain } = engine.reading;
      const served = groupModels.get(engine.member.host);
      if (served !== undefined) {
        increment(this.#members, formatKey(fabricDomain, served));
        continue;
      }
      profile.models
        .filter((model) => isWarm(engine, model))
        .forEach(({ name }) => {
          this.add(fabricDomain, name);
        });
    }
  }

  add(domain: string, model: string): void {
    increment(this.#spares, formatKey(domain, model));
  }

  /** The model with the most members for each spare, counting the one that is to be staged. */
  findScarcest(domain: string): EngineModel {
    const membersPerSpare = ({ name }: EngineModel): number => {
      const key = formatKey(domain, name);
      return (this.#members.get(key) ?? 0) / ((this.#spares.get(key) ?? 0) + 1);
    };
    return this.#models.reduce((scarcest, model) =>
      membersPerSpare(model) > membersPerSpare(scarcest) ? model : scarcest,
    );
  }
}

function formatKey(domain: string, model: string): string {
  return `${domain} ${model}`;
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

/** Orders a member of a group to stage a model that it does not serve. */
function chooseOtherModel(engine: AnsweringEngine, input: StagingInput): readonly StagingOrder[] {
  const { reading, lastModel, member } = engine;
  const { host } = member;
  if (reading.isBusy || lastModel === undefined || lastModel !== input.groupModels.get(host)) {
    // The engine has not joined yet; staging another model now would evict the weights that it needs to join.
    return [];
  }
  const others = input.profile.models.filter(({ name }) => name !== lastModel);
  const other = others.some(({ name }) => reading.staged.includes(name)) ? undefined : others[0];
  return other === undefined ? [] : [{ host, model: other.name }];
}
