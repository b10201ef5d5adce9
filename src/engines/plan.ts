import type { EnginePhase, RoutedService } from '../routing/index.js';
import { formGroups } from './form-groups.js';
import type { EngineExchange } from './model-losses.js';
import { ModelNeeds, type NeedsInput } from './model-needs.js';
import { WeighedNeeds } from './weighed-needs.js';
import { determineEngineStatus } from './engine-status.js';
import { chooseEvacuationDrains, isEvacuated, isInEvacuatedDomain } from './evacuated-groups.js';
import { decideTransition } from './group-transitions.js';
import { findAvailableEngines, findSlowGroups } from './available-engines.js';
import { chooseStaging, type StagingInput } from './staging.js';
import type {
  EngineDecision,
  EngineView,
  AnsweringEngine,
  GroupAdvance,
  GroupRemoval,
  GroupView,
  NewEngineGroup,
  PlannerInput,
  StagingOrder,
} from './types.js';

/** Plans the groups of engines. This is a pure function; each plan is computed from the whole input. */
export function planEngineGroups(input: PlannerInput): EngineDecision {
  const transitions = input.groups.map((view) => ({
    view,
    transition: decideTransition(view, input),
  }));
  const advance: GroupAdvance[] = [];
  const remove: GroupRemoval[] = [];
  const kept: GroupView[] = [];
  for (const { view, transition } of transitions) {
    switch (transition.type) {
      case 'keep':
        kept.push(view);
        break;
      case 'advance':
        advance.push(transition.advance);
        kept.push({ group: { ...view.group, phase: transition.advance.phase }, phaseAge: 0 });
        break;
      case 'remove':
        remove.push(transition.removal);
        break;
    }
  }
  const place: NewEngineGroup[] = [];
  const stage: StagingOrder[] = [];
  const exchanges: EngineExchange[] = [];
  for (const service of input.services) {
    const decision = planService(service, kept, input, input.nextNumber + place.length);
    place.push(...decision.place);
    stage.push(...decision.stage);
    advance.push(...decision.advance);
    exchanges.push(...(decision.exchanges ?? []));
  }
  return { place, advance, remove, stage, exchanges };
}

function planService(
  service: RoutedService,
  groups: readonly GroupView[],
  input: PlannerInput,
  nextNumber: number,
): Omit<EngineDecision, 'remove'> {
  const { engine: profile } = service;
  if (profile === undefined) {
    return { place: [], stage: [], advance: [] };
  }
  const engines = [...input.engines.values()].flatMap((view) => {
    return view.facts.service === service.name ? (toAnsweringEngine(view, input) ?? []) : [];
  });
  // An evacuated group still serves, but is no capacity to count on, and its engines are used only once it has drained.
  const usableGroups = groups.filter(({ group }) => !isEvacuated(group, input));
  const activeGroups = usableGroups.filter(({ group }) => isActive(group.phase));
  const slowGroups = findSlowGroups(engines, activeGroups);
  const fullSpeedGroups = activeGroups.filter(({ group }) => !slowGroups.has(group.name));
  const needsInput = { profile, engineCount: engines.length, demand: input.demand };
  const capacity = { ...needsInput, groups: fullSpeedGroups.map(({ group }) => group) };
  const needs =
    input.losses === undefined
      ? new ModelNeeds(capacity)
      : new WeighedNeeds(capacity, input.losses);
  const { hasTraffic, loadsAllowed } = input;
  const domains = new Map(
    engines.map(({ member, reading }) => [member.host, reading.fabricDomain]),
  );
  const available = findAvailableEngines(engines, groups).filter(
    ({ openGroup }) => openGroup === undefined || usableGroups.includes(openGroup),
  );
  const mayDrain = !hasTraffic || input.demand.size > 0;
  const sharedInput = { service, profile, available, activeGroups, slowGroups, needs, domains };
  const { place, drain, models, exchanges } = input.isSettling
    ? { place: [], drain: [], models: [], exchanges: [] }
    : formGroups({ ...sharedInput, hasTraffic, mayDrain, nextNumber });
  const groupModels = new Map(
    [...activeGroups.map(({ group }) => group), ...place].flatMap(({ members, model }) =>
      members.map(({ host }): [string, string] => [host, model]),
    ),
  );
  const stage = chooseStaging({
    profile,
    engines,
    groupModels,
    hasTraffic,
    loadsAllowed,
    isSettling: input.isSettling,
    pending: input.pendingStaging,
    ...(input.losses === undefined || !hasTraffic
      ? {}
      : createCoverage({ ...capacity, groups: [...capacity.groups, ...place] })),
  });
  if (input.evacuations.size === 0) {
    return { place, stage, advance: drain, exchanges };
  }
  const openGroups = fullSpeedGroups.filter(({ group }) => group.phase === 'open');
  const evacuationDrains = chooseEvacuationDrains({
    ...input,
    service,
    groups,
    openNeeds: new ModelNeeds({ ...needsInput, groups: openGroups.map(({ group }) => group) }),
    modelsInFormation: new Set([...models, ...listModelsInFormation(activeGroups)]),
    mayDrainEarly: mayDrain && !input.isSettling,
  });
  return { place, stage, advance: [...drain, ...evacuationDrains], exchanges };
}

/** Coverage by the measured demand alone; losses do not raise it, since a load of weights outlasts most of them. */
function createCoverage(input: NeedsInput): Required<Pick<StagingInput, 'coverageOf'>> {
  const needs = new ModelNeeds(input);
  return { coverageOf: (model) => needs.coverageOf(model) };
}

function listModelsInFormation(activeGroups: readonly GroupView[]): readonly string[] {
  return activeGroups.flatMap(({ group: { phase, model } }) => (phase === 'open' ? [] : [model]));
}

function isActive(phase: EnginePhase): boolean {
  return phase === 'joining' || phase === 'opening' || phase === 'open';
}

/** Undefined if the engine does not answer, is shutting down, or is in an evacuated failure domain. */
function toAnsweringEngine(view: EngineView, input: PlannerInput): AnsweringEngine | undefined {
  const { facts, host } = view;
  const { address, service, lastModel, failureDomain } = facts;
  const status = determineEngineStatus(view);
  if (status.type !== 'answering' || input.leaving.has(status.reading.instance)) {
    return undefined;
  }
  if (isInEvacuatedDomain(view, input)) {
    return undefined;
  }
  const { reading } = status;
  const member = { host, instance: reading.instance, address, failureDomain };
  return { member, service, reading, lastModel };
}
