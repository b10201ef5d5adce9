import type { Milliseconds } from '../common/index.js';
import type { EngineModel, EngineProfile, RoutedService } from '../routing/index.js';
import type { ModelNeeds } from './model-need.js';
import type { FreeEngine, NewEngineGroup } from './types.js';

/** Chooses which free engines form which groups. */

/** Time to join when the engine's last group had the same model, as engines of the platform take it. */
const rejoinDuration: Milliseconds = 200;
/** Loads take this part of their time before the first request. */
const earlyLoadShare = 0.1;
/**
 * How long a group is expected to serve. A group that takes as long to form is worth nothing; one that is there at once is
 * worth its whole gain.
 */
const expectedLife: Milliseconds = 30_000;
/** Part of the engines of a fabric domain that is kept free to mend groups at once, while all demand is covered. */
const spareShare = 0.15;

/** What forming is decided from. */
export interface FormingInput {
  readonly service: RoutedService;
  readonly profile: EngineProfile;
  readonly free: readonly FreeEngine[];
  /** Engines of the service that answer, by fabric domain, free or not. */
  readonly domainSizes: ReadonlyMap<string, number>;
  readonly needs: ModelNeeds;
  readonly hasTraffic: boolean;
  readonly loadsAllowed: number;
  readonly nextNumber: number;
}

/** A group that could be formed. */
interface Candidate {
  readonly model: EngineModel;
  readonly engines: readonly FreeEngine[];
  readonly value: number;
  /** Members that would have to load the weights from the store. */
  readonly loads: number;
}

export function formGroups(input: FormingInput): readonly NewEngineGroup[] {
  const formed: NewEngineGroup[] = [];
  let { free, loadsAllowed } = input;
  for (;;) {
    const best = listCandidates({ ...input, free, loadsAllowed }).reduce<Candidate | undefined>(
      (winner, each) => (winner === undefined || each.value > winner.value ? each : winner),
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
    loadsAllowed -= best.loads;
    free = free.filter((engine) => !best.engines.includes(engine));
  }
}

function listCandidates(input: FormingInput): readonly Candidate[] {
  const domains = new Set(input.free.map(({ reading }) => reading.fabricDomain));
  return [...domains].flatMap((domain) => {
    const engines = input.free.filter(({ reading }) => reading.fabricDomain === domain);
    return input.profile.models.flatMap((model) => {
      return createCandidate(input, domain, engines, model) ?? [];
    });
  });
}

function createCandidate(
  input: FormingInput,
  domain: string,
  engines: readonly FreeEngine[],
  model: EngineModel,
): Candidate | undefined {
  const left = engines.length - model.groupSize;
  const spares = Math.ceil((input.domainSizes.get(domain) ?? 0) * spareShare);
  if (left < 0 || (left < spares && input.needs.isCovered(model))) {
    return undefined;
  }
  const joinOf = (engine: FreeEngine): Milliseconds =>
    estimateJoin(engine, model, input.hasTraffic);
  const chosen = [...engines]
    .sort((one, other) => joinOf(one) - joinOf(other))
    .slice(0, model.groupSize);
  const loads = input.hasTraffic ? chosen.filter((engine) => needsLoad(engine, model)).length : 0;
  const duration = Math.max(...chosen.map(joinOf)) + input.profile.openDuration;
  const value = input.needs.gainOf(model) * (1 - duration / expectedLife);
  return loads > input.loadsAllowed || value <= 0
    ? undefined
    : { model, engines: chosen, value, loads };
}

function needsLoad({ lastModel, reading }: FreeEngine, model: EngineModel): boolean {
  return lastModel !== model.name && !reading.staged.includes(model.name);
}

/** Time until an engine is ready in a group of the model. */
function estimateJoin(engine: FreeEngine, model: EngineModel, hasTraffic: boolean): Milliseconds {
  if (engine.lastModel === model.name) {
    return rejoinDuration;
  }
  if (engine.reading.staged.includes(model.name)) {
    return model.stagedJoinDuration;
  }
  return model.stagedJoinDuration + model.loadDuration * (hasTraffic ? 1 : earlyLoadShare);
}
