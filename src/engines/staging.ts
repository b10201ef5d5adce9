import type { EngineModel, EngineProfile } from '../routing/index.js';
import { isWarm } from './available-engines.js';
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
  readonly loadsAllowed: number;
  /** Models, by host, that were already ordered; these loads are already counted against the budget. */
  readonly pending: ReadonlyMap<string, string>;
  /** Model for which one more group adds most. */
  readonly neediest: EngineModel | undefined;
}

/**
 * An engine that was ready in a group can rejoin with that model quickly, and its host keeps another model staged. So a host that stages
 * the model that it does not serve can switch to either in about a second.
 * Before the first request this costs almost nothing. Afterwards a load takes as long as ten replacements of a lost group, so idle hosts
 * come first, and no more loads begin than the weight store can run at full speed.
 */
export function chooseStaging(input: StagingInput): readonly StagingOrder[] {
  const { engines, hasTraffic, loadsAllowed, pending } = input;
  const idle = hasTraffic ? engines.flatMap((engine) => chooseForIdle(engine, input)) : [];
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

function chooseForIdle(engine: AnsweringEngine, input: StagingInput): readonly StagingOrder[] {
  const { neediest, groupModels } = input;
  const { host } = engine.member;
  const isIdle = !groupModels.has(host) && !engine.reading.isBusy;
  const needsLoad = isIdle && neediest !== undefined && !isWarm(engine, neediest);
  return needsLoad ? [{ host, model: neediest.name }] : [];
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
