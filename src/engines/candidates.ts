import type { Milliseconds } from '../common/index.js';
import type { EngineModel, EngineProfile } from '../routing/index.js';
import type { CapacityNeeds } from './model-needs.js';
import {
  estimateReadyTime,
  estimateServingTime,
  isWarm,
  listDomains,
  type AvailableEngine,
} from './available-engines.js';
import { isNewcomer } from './spare-exchange.js';
import type { GroupView } from './types.js';

/** Lists the groups that could be formed and computes the value of each. */

/**
 * How long a group is expected to serve. The value of a group falls linearly with the time to form it: a group that is available
 * at once has its full gain, one that takes this long has none.
 */
const expectedLifetime: Milliseconds = 20_000;
/**
 * Cost of draining a group, in concurrent requests: its callers have to use other groups, and two joins are ordered. It is less
 * than a quarter of the value of the last group of a reserve.
 */
const drainCost = 0.8;
/**
 * Value, as a fraction of the capacity of one group, that a group must exceed once there is traffic. Below it the engines stay idle: an
 * idle engine whose host has the weights of several models can replace a lost member sooner than one that first has to leave a group.
 * Relative to a group, not to an engine: a value per engine would leave a whole group of many engines idle where one of few is formed.
 */
const minimumValueShare = 0.012;
/**
 * Fraction of its gain that a group loses for each group of the same model in its fabric domain. This spreads a model over domains,
 * because a fabric domain fails as a whole.
 */
const crowdingPenalty = 0.08;

/** Input for choosing a candidate. */
export interface CandidateInput {
  readonly profile: EngineProfile;
  readonly available: readonly AvailableEngine[];
  readonly needs: CapacityNeeds;
  readonly hasTraffic: boolean;
  /** Names of the groups that are too slow to count as capacity; their engines may be given to any model. */
  readonly slowGroups: ReadonlySet<string>;
  /** Number of groups of a model in a fabric domain. */
  readonly countInDomain: (domain: string, model: string) => number;
}

/** A group that could be formed. */
export interface Candidate {
  readonly model: EngineModel;
  readonly domain: string;
  readonly members: readonly AvailableEngine[];
  /** Open groups that have to be drained to free members for it. */
  readonly groupsToDrain: readonly GroupView[];
  /** In concurrent requests, per engine. */
  readonly value: number;
  /**
   * Fraction of the demand for the model that its groups can serve, 1 at most. The model with the lowest coverage goes first: by value
   * alone, a model with small groups would take all engines while callers of the other model find no group.
   */
  readonly coverage: number;
}

/** The best candidate; undefined if none is worthwhile. */
export function findBestCandidate(input: CandidateInput): Candidate | undefined {
  return listCandidates(input).reduce<Candidate | undefined>(
    (best, each) => (best === undefined || isBetter(each, best) ? each : best),
    undefined,
  );
}

function listCandidates(input: CandidateInput): readonly Candidate[] {
  return listDomains(input.available).flatMap((domain) => {
    const local = input.available.filter(({ engine }) => engine.reading.fabricDomain === domain);
    return input.profile.models.flatMap(
      (model) => createCandidate(input, domain, local, model) ?? [],
    );
  });
}

function createCandidate(
  input: CandidateInput,
  domain: string,
  local: readonly AvailableEngine[],
  model: EngineModel,
): Candidate | undefined {
  // Once there is traffic, a load takes longer than most groups last; hosts without the weights have to stage them first.
  const eligible = input.hasTraffic ? local.filter(({ engine }) => isWarm(engine, model)) : local;
  const noDrainNeeded = eligible.filter(({ openGroup }) => openGroup === undefined);
  const missing = model.groupSize - noDrainNeeded.length;
  const coverage = input.needs.coverageOf(model);
  const groupsToDrain =
    missing > 0 ? chooseGroupsToDrain(input, eligible, model, missing, coverage) : [];
  const drainedEngines = eligible.filter(
    ({ openGroup }) => openGroup !== undefined && groupsToDrain.includes(openGroup),
  );
  const chosen = [...noDrainNeeded, ...drainedEngines]
    .sort((one, other) => compareMembers(one, other, model, input.hasTraffic))
    .slice(0, model.groupSize);
  if (chosen.length < model.groupSize) {
    return undefined;
  }
  const value = computeValue(input, domain, model, chosen, groupsToDrain);
  const minimumValue = input.hasTraffic ? minimumValueShare * input.needs.groupCapacity : 0;
  const isWorthwhile = value * model.groupSize > minimumValue;
  return isWorthwhile
    ? { model, domain, members: chosen, groupsToDrain, value, coverage }
    : undefined;
}

/** The soonest engines first; before the first request, when time is cheap, spares that were never in a group come before them. */
function compareMembers(
  one: AvailableEngine,
  other: AvailableEngine,
  model: EngineModel,
  hasTraffic: boolean,
): number {
  const isOneFirst = !hasTraffic && isNewcomer(one, model);
  const isOtherFirst = !hasTraffic && isNewcomer(other, model);
  return isOneFirst === isOtherFirst
    ? estimateReadyTime(one, model) - estimateReadyTime(other, model)
    : Number(isOtherFirst) - Number(isOneFirst);
}

function computeValue(
  { needs, profile, slowGroups, countInDomain }: CandidateInput,
  domain: string,
  model: EngineModel,
  chosen: readonly AvailableEngine[],
  groupsToDrain: readonly GroupView[],
): number {
  const duration = estimateServingTime(chosen, model, profile);
  const crowding = 1 - crowdingPenalty * countInDomain(domain, model.name);
  const gain = needs.gainOf(model) * (1 - duration / expectedLifetime) * crowding;
  const fullSpeedGroups = groupsToDrain.filter(({ group }) => !slowGroups.has(group.name));
  const loss = needs.lossOf(fullSpeedGroups.map(({ group }) => group.model));
  return (gain - loss - groupsToDrain.length * drainCost) / model.groupSize;
}

/**
 * A small set of open groups that together release the missing engines, those that release most engines first; empty if there is no such set.
 * Slow groups may always be drained, groups of another model only as far as that model can spare them.
 */
function chooseGroupsToDrain(
  { needs, profile, slowGroups }: CandidateInput,
  eligible: readonly AvailableEngine[],
  model: EngineModel,
  missing: number,
  coverage: number,
): readonly GroupView[] {
  const views = [...new Set(eligible.flatMap(({ openGroup }) => openGroup ?? []))];
  const countReleased = (view: GroupView): number =>
    eligible.filter(({ openGroup }) => openGroup === view).length;
  const spare = new Map(
    profile.models.map((each) => [each.name, needs.countSpare(each, coverage, model)]),
  );
  const chosen: GroupView[] = [];
  let releasedCount = 0;
  for (const view of views.sort((one, other) => countReleased(other) - countReleased(one))) {
    const { name, model: releasedModel } = view.group;
    const canDrain =
      slowGroups.has(name) || (releasedModel !== model.name && takeSpare(spare, releasedModel));
    if (canDrain && releasedCount < missing) {
      chosen.push(view);
      releasedCount += countReleased(view);
    }
  }
  return releasedCount >= missing ? chosen : [];
}

function takeSpare(spare: Map<string, number>, model: string): boolean {
  const left = spare.get(model) ?? 0;
  spare.set(model, left - 1);
  return left > 0;
}

function isBetter(one: Candidate, other: Candidate): boolean {
  return one.coverage === other.coverage ? one.value > other.value : one.coverage < other.coverage;
}
