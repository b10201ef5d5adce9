import type { Milliseconds } from '../common/index.js';
import type { EngineModel, EngineProfile } from '../routing/index.js';
import type { ModelNeeds } from './model-need.js';
import {
  estimateReady,
  estimateServing,
  isWarm,
  listDomains,
  type AvailableEngine,
} from './available-engines.js';
import type { GroupView } from './types.js';

/** Lists the groups that could be formed, with what each is worth. */

/**
 * How long a group is expected to serve. A group that takes as long to form is worth nothing; one that is there at once is
 * worth its whole gain.
 */
const expectedLife: Milliseconds = 20_000;
/**
 * What draining a group costs, in requests at one moment: its callers go elsewhere and two joins are ordered. Less than a
 * quarter of what the last group of a reserve is worth.
 */
const drainCost = 0.8;
/**
 * What a group has to bring for each of its engines, in requests at one moment. An idle engine that has the weights of several
 * models at hand mends the next group of any of them sooner than one that has to leave a group first.
 */
const leastGain = 0.1;
/** For each group of its model in its domain a group is worth this part less: a fabric domain is lost as a whole. */
const crowdingShare = 0.08;

/** What candidates are made from. */
export interface CandidateInput {
  readonly profile: EngineProfile;
  readonly available: readonly AvailableEngine[];
  readonly needs: ModelNeeds;
  readonly hasTraffic: boolean;
  /** Open groups that answer too slowly to be counted; their engines may go to any model. */
  readonly slowGroups: ReadonlySet<string>;
  /** Groups of a model in a domain, for spreading them. */
  readonly countInDomain: (domain: string, model: string) => number;
}

/** A group that could be formed. */
export interface Candidate {
  readonly model: EngineModel;
  readonly domain: string;
  readonly members: readonly AvailableEngine[];
  /** Open groups that have to be drained for it. */
  readonly drained: readonly GroupView[];
  /** In requests at one moment, for each engine that it takes. */
  readonly value: number;
  /**
   * Part of what is asked for that the groups of the model can take, 1 at most. The model with the smallest goes first: by value a
   * model with small groups would take all engines while callers of the other one find nothing.
   */
  readonly coverage: number;
}

/** The best candidate; undefined where none is worth its engines. */
export function findBestCandidate(input: CandidateInput): Candidate | undefined {
  return listCandidates(input).reduce<Candidate | undefined>(
    (winner, each) => (winner === undefined || isBetter(each, winner) ? each : winner),
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
  // Later, a load takes longer than most groups live; hosts that lack the weights stage them first.
  const able = input.hasTraffic ? local.filter(({ engine }) => isWarm(engine, model)) : local;
  const atHand = able.filter(({ heldBy }) => heldBy === undefined);
  const missing = model.groupSize - atHand.length;
  const coverage = input.needs.coverageOf(model);
  const drained = missing > 0 ? chooseDrained(input, able, model, missing, coverage) : [];
  const given = able.filter(({ heldBy }) => heldBy !== undefined && drained.includes(heldBy));
  const chosen = [...atHand, ...given]
    .sort((one, other) => estimateReady(one, model) - estimateReady(other, model))
    .slice(0, model.groupSize);
  if (chosen.length < model.groupSize) {
    return undefined;
  }
  const value = valueCandidate(input, domain, model, chosen, drained);
  const isWorthIt = value > (input.hasTraffic ? leastGain : 0);
  return isWorthIt ? { model, domain, members: chosen, drained, value, coverage } : undefined;
}

function valueCandidate(
  { needs, profile, slowGroups, countInDomain }: CandidateInput,
  domain: string,
  model: EngineModel,
  chosen: readonly AvailableEngine[],
  drained: readonly GroupView[],
): number {
  const duration = estimateServing(chosen, model, profile);
  const crowding = 1 - crowdingShare * countInDomain(domain, model.name);
  const gain = needs.gainOf(model) * (1 - duration / expectedLife) * crowding;
  const counted = drained.filter(({ group }) => !slowGroups.has(group.name));
  const loss = needs.lossOf(counted.map(({ group }) => group.model));
  return (gain - loss - drained.length * drainCost) / model.groupSize;
}

/**
 * The fewest open groups that together give the missing engines; none where that is not possible. A model gives away what it
 * can spare, and any group that is slow.
 */
function chooseDrained(
  { needs, profile, slowGroups }: CandidateInput,
  able: readonly AvailableEngine[],
  model: EngineModel,
  missing: number,
  coverage: number,
): readonly GroupView[] {
  const views = [...new Set(able.flatMap(({ heldBy }) => heldBy ?? []))];
  const countGiven = (view: GroupView): number =>
    able.filter(({ heldBy }) => heldBy === view).length;
  const spare = new Map(
    profile.models.map((each) => [each.name, needs.countSpare(each, coverage)]),
  );
  const chosen: GroupView[] = [];
  let given = 0;
  for (const view of views.sort((one, other) => countGiven(other) - countGiven(one))) {
    const { name, model: own } = view.group;
    const isGiven = slowGroups.has(name) || (own !== model.name && takeSpare(spare, own));
    if (isGiven && given < missing) {
      chosen.push(view);
      given += countGiven(view);
    }
  }
  return given >= missing ? chosen : [];
}

function takeSpare(spare: Map<string, number>, model: string): boolean {
  const left = spare.get(model) ?? 0;
  spare.set(model, left - 1);
  return left > 0;
}

function isBetter(one: Candidate, other: Candidate): boolean {
  return one.coverage === other.coverage ? one.value > other.value : one.coverage < other.coverage;
}
