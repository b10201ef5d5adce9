import type { Milliseconds } from '../common/index.js';
import type { EngineModel, EngineProfile, RoutedService } from '../routing/index.js';
import type { ModelNeeds } from './model-need.js';
import type { FreeEngine, NewEngineGroup } from './types.js';

/** Chooses which free engines form which groups. */

/** Time to join when the engine's last group had the same model, as measured at engines. */
const rejoinDuration: Milliseconds = 220;
/** Loads take this part of their time before the first request. */
const earlyLoadShare = 0.1;
/**
 * How long a group is expected to serve. A group that takes as long to form is worth nothing; one that is there at once is
 * worth its whole gain.
 */
const expectedLife: Milliseconds = 20_000;

/** What forming is decided from. */
export interface FormingInput {
  readonly service: RoutedService;
  readonly profile: EngineProfile;
  readonly free: readonly FreeEngine[];
  readonly needs: ModelNeeds;
  readonly hasTraffic: boolean;
  readonly nextNumber: number;
  /** Fabric domains in which groups are being given up; their engines are kept together for the model that needs them. */
  readonly reserved: ReadonlySet<string>;
}

/** A group that could be formed. */
interface Candidate {
  readonly model: EngineModel;
  readonly engines: readonly FreeEngine[];
  readonly value: number;
  /** Whether the model has fewer groups than it needs now; such a group goes before any that is only a reserve. */
  readonly isNeeded: boolean;
}

export function formGroups(input: FormingInput): readonly NewEngineGroup[] {
  const formed: NewEngineGroup[] = [];
  let { free } = input;
  for (;;) {
    const best = listCandidates({ ...input, free }).reduce<Candidate | undefined>(
      (winner, each) => (winner === undefined || isBetter(each, winner) ? each : winner),
      undefined,
    );
    if (best === undefined) {
      return formed;
    }
    formed.push({
      name: `${best.model.name}/${input.nextNumber + formed.length}`,
      service: input.service.name,
      model: best.model.name,
      members: best.engines.map(({ member }) => member),
    });
    input.needs.add(best.model.name);
    free = free.filter((engine) => !best.engines.includes(engine));
  }
}

/** Whether the engine can join a group of the model within a second or two. */
export function isWarm({ lastModel, reading }: FreeEngine, model: EngineModel): boolean {
  return lastModel === model.name || reading.staged.includes(model.name);
}

function listCandidates(input: FormingInput): readonly Candidate[] {
  const domains = new Set(input.free.map(({ reading }) => reading.fabricDomain));
  const lacking = input.profile.models.filter((model) => !input.needs.isCovered(model));
  return [...domains].flatMap((domain) => {
    const engines = input.free.filter(({ reading }) => reading.fabricDomain === domain);
    const isReserved = lacking.length > 0 && input.reserved.has(domain);
    const models = isReserved ? lacking : input.profile.models;
    return models.flatMap((model) => createCandidate(input, engines, model) ?? []);
  });
}

function createCandidate(
  input: FormingInput,
  engines: readonly FreeEngine[],
  model: EngineModel,
): Candidate | undefined {
  const joinOf = (engine: FreeEngine): Milliseconds => estimateJoin(engine, model);
  // Later, a load takes longer than most groups live; hosts that lack the weights stage them first.
  const able = input.hasTraffic ? engines.filter((engine) => isWarm(engine, model)) : engines;
  const chosen = [...able]
    .sort((one, other) => joinOf(one) - joinOf(other))
    .slice(0, model.groupSize);
  if (chosen.length < model.groupSize) {
    return undefined;
  }
  const duration = Math.max(...chosen.map(joinOf)) + input.profile.openDuration;
  const value = input.needs.gainOf(model) * (1 - duration / expectedLife);
  const isNeeded = !input.needs.isCovered(model);
  return value <= 0 ? undefined : { model, engines: chosen, value, isNeeded };
}

function isBetter(one: Candidate, other: Candidate): boolean {
  return one.isNeeded === other.isNeeded ? one.value > other.value : one.isNeeded;
}

/** Time until an engine is ready in a group of the model; loads as before the first request. */
function estimateJoin(engine: FreeEngine, model: EngineModel): Milliseconds {
  if (engine.lastModel === model.name) {
    return rejoinDuration;
  }
  const load = engine.reading.staged.includes(model.name) ? 0 : model.loadDuration;
  return model.stagedJoinDuration + load * earlyLoadShare;
}
