import type { EngineModel, EngineProfile } from '../routing/index.js';
import { isWarm } from './available-engines.js';
import type { AnsweringEngine, StagingOrder } from './types.js';

/** Chooses which weights hosts stage beside what they serve. */

/**
 * Part of the loads that the weight store gives at full speed that is kept for hosts that stand idle. Where engines are lost all the time and
 * come back empty, what hosts that serve load beside their own model delays them all.
 */
const keptForIdleShare = 0.8;

/** What staging is decided from. */
export interface StagingInput {
  readonly profile: EngineProfile;
  /** All engines of the service that answer. */
  readonly engines: readonly AnsweringEngine[];
  /** Models of the groups that engines are members of, by host. */
  readonly groupModels: ReadonlyMap<string, string>;
  readonly hasTraffic: boolean;
  readonly loadsAllowed: number;
  /** Models that hosts were ordered to stage and do not stage yet; these loads are counted already. */
  readonly pending: ReadonlyMap<string, string>;
  /** Model that needs another group most. */
  readonly neediest: EngineModel | undefined;
}

/**
 * An engine that was ready in a group keeps that model at hand, and its host keeps another one staged; so a host that stages
 * the model that it does not serve can change to either in about a second.
 * Before the first request this costs next to nothing. Afterwards a load takes as long as ten mendings, so hosts that stand idle
 * come first, and no more begin than the weight store gives at full speed.
 */
export function chooseStaging(input: StagingInput): readonly StagingOrder[] {
  const { engines, hasTraffic, loadsAllowed, pending } = input;
  const idle = hasTraffic ? engines.flatMap((engine) => chooseForIdle(engine, input)) : [];
  const serving = engines.flatMap((engine) => chooseOther(engine, input));
  const orders = [...idle, ...serving];
  if (!hasTraffic) {
    return orders;
  }
  const isPending = ({ host, model }: StagingOrder): boolean => pending.get(host) === model;
  const begun = orders.filter(isPending);
  const newIdle = idle.filter((order) => !isPending(order)).slice(0, loadsAllowed);
  const kept = Math.ceil(input.profile.concurrentLoads * keptForIdleShare);
  const left = loadsAllowed - newIdle.length - kept;
  const newServing = serving.filter((order) => !isPending(order)).slice(0, Math.max(0, left));
  return [...begun, ...newIdle, ...newServing];
}

function chooseForIdle(engine: AnsweringEngine, input: StagingInput): readonly StagingOrder[] {
  const { neediest, groupModels } = input;
  const { host } = engine.member;
  const isIdle = !groupModels.has(host) && !engine.reading.isBusy;
  const isWanted = isIdle && neediest !== undefined && !isWarm(engine, neediest);
  return isWanted ? [{ host, model: neediest.name }] : [];
}

/** The model that a member of a group does not serve. */
function chooseOther(engine: AnsweringEngine, input: StagingInput): readonly StagingOrder[] {
  const { reading, lastModel, member } = engine;
  const { host } = member;
  if (reading.isBusy || lastModel === undefined || lastModel !== input.groupModels.get(host)) {
    // It has yet to join; staging another model now would take the weights away that it needs for that.
    return [];
  }
  const others = input.profile.models.filter(({ name }) => name !== lastModel);
  const other = others.some(({ name }) => reading.staged.includes(name)) ? undefined : others[0];
  return other === undefined ? [] : [{ host, model: other.name }];
}
