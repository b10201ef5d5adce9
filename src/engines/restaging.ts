import type { EngineModel, EngineProfile } from '../routing/index.js';
import { isWarm } from './available-engines.js';
import type { AnsweringEngine, StagingOrder } from './types.js';

/**
 * Chooses idle engines that replace the weights they have by those of a model that is short of groups.
 * Load pattern: a failure domain returns after a loss. Its engines joined no group since their start, and their hosts keep the weights of
 * one model only, so they stand idle for as long as the other model is short.
 */

/**
 * Coverage of its demand below which a model is short. A load takes as long as several bursts, and other models lose spares by it, so a
 * small shortage is not worth one.
 */
const shortCoverage = 0.8;
/** Idle engines in a fabric domain that keep the weights of another model, to replace its lost members. */
const keptSpares = 1;

export interface RestagingInput {
  readonly profile: EngineProfile;
  /** Idle engines whose hosts can load weights now, or are loading those that were ordered. */
  readonly idle: readonly AnsweringEngine[];
  readonly pending: ReadonlyMap<string, string>;
  /** Fraction of the demand for a model that its groups can serve. */
  readonly coverageOf: (model: EngineModel) => number;
}

/** Orders for as many engines of each fabric domain as complete one group of the model that is shortest, if there are enough. */
export function chooseRestaging(input: RestagingInput): readonly StagingOrder[] {
  const short = findShortest(input);
  if (short === undefined) {
    return [];
  }
  const domains = new Set(input.idle.map(({ reading }) => reading.fabricDomain));
  return [...domains].flatMap((domain) => {
    const local = input.idle.filter(({ reading }) => reading.fabricDomain === domain);
    return chooseInDomain(local, short, input);
  });
}

function findShortest({ profile, coverageOf }: RestagingInput): EngineModel | undefined {
  return profile.models
    .map((model) => ({ model, coverage: coverageOf(model) }))
    .filter(({ coverage }) => coverage < shortCoverage)
    .sort((one, other) => one.coverage - other.coverage)[0]?.model;
}

function chooseInDomain(
  local: readonly AnsweringEngine[],
  short: EngineModel,
  { profile, pending }: RestagingInput,
): readonly StagingOrder[] {
  const ready = local.filter((engine) => isWarm(engine, short));
  const others = local.filter((engine) => {
    return !ready.includes(engine) && profile.models.some((model) => isWarm(engine, model));
  });
  const missing = short.groupSize - (ready.length % short.groupSize);
  if (others.length - keptSpares < missing) {
    return [];
  }
  const isPending = ({ member }: AnsweringEngine): boolean =>
    pending.get(member.host) === short.name;
  // Loads that were ordered go on, so that they do not start over on other hosts.
  return [...others]
    .sort((one, other) => Number(isPending(other)) - Number(isPending(one)))
    .slice(0, missing)
    .map(({ member: { host } }) => ({ host, model: short.name }));
}
