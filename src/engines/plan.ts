import type { EnginePhase, RoutedService } from '../routing/index.js';
import { formGroups } from './form-groups.js';
import { ModelNeeds } from './model-need.js';
import { judgeEngine } from './engine-standing.js';
import { reviewGroup } from './review-groups.js';
import { listAvailableEngines, listSlowGroups } from './available-engines.js';
import { chooseStaging } from './staging.js';
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

/** Decides what becomes of the groups of engines; pure, and made anew from all that is known each time. */
export function planEngineGroups(input: PlannerInput): EngineDecision {
  const verdicts = input.groups.map((view) => ({ view, verdict: reviewGroup(view, input) }));
  const advance: GroupAdvance[] = [];
  const remove: GroupRemoval[] = [];
  const kept: GroupView[] = [];
  for (const { view, verdict } of verdicts) {
    switch (verdict.type) {
      case 'keep':
        kept.push(view);
        break;
      case 'advance':
        advance.push(verdict.advance);
        kept.push({ group: { ...view.group, phase: verdict.advance.phase }, phaseAge: 0 });
        break;
      case 'remove':
        remove.push(verdict.removal);
        break;
    }
  }
  const place: NewEngineGroup[] = [];
  const stage: StagingOrder[] = [];
  for (const service of input.services) {
    const decision = planService(service, kept, input, input.nextNumber + place.length);
    place.push(...decision.place);
    stage.push(...decision.stage);
    advance.push(...decision.advance);
  }
  return { place, advance, remove, stage };
}

function planService(
  service: RoutedService,
  groups: readonly GroupView[],
  input: PlannerInput,
  nextNumber: number,
): Pick<EngineDecision, 'place' | 'stage' | 'advance'> {
  const { engine: profile } = service;
  if (profile === undefined) {
    return { place: [], stage: [], advance: [] };
  }
  const engines = [...input.engines.values()].flatMap((view) => {
    return view.facts.service === service.name ? (describeEngine(view, input) ?? []) : [];
  });
  const working = groups.filter(({ group }) => isWorking(group.phase));
  const slowGroups = listSlowGroups(engines, working);
  const counted = working.filter(({ group }) => !slowGroups.has(group.name));
  const needs = new ModelNeeds(
    profile,
    engines.length,
    counted.map(({ group }) => group),
    input.demand,
  );
  const { hasTraffic, loadsAllowed } = input;
  const domains = new Map(
    engines.map(({ member, reading }) => [member.host, reading.fabricDomain]),
  );
  const available = listAvailableEngines(engines, groups);
  const mayDrain = !hasTraffic || input.demand.size > 0;
  const known = { service, profile, available, working, slowGroups, needs, domains };
  const { place, drain } = input.isSettling
    ? { place: [], drain: [] }
    : formGroups({ ...known, hasTraffic, mayDrain, nextNumber });
  const groupModels = new Map(
    [...working.map(({ group }) => group), ...place].flatMap(({ members, model }) =>
      members.map(({ host }): [string, string] => [host, model]),
    ),
  );
  const stage = chooseStaging({
    profile,
    engines,
    groupModels,
    hasTraffic,
    loadsAllowed,
    pending: input.pendingStaging,
    neediest: needs.findNeediest(),
  });
  return { place, stage, advance: drain };
}

function isWorking(phase: EnginePhase): boolean {
  return phase === 'joining' || phase === 'opening' || phase === 'open';
}

/** An engine that answers and stays; undefined for any other. */
function describeEngine(view: EngineView, input: PlannerInput): AnsweringEngine | undefined {
  const { facts, host } = view;
  const { address, service, lastModel } = facts;
  const standing = judgeEngine(view);
  if (standing.type !== 'answering' || input.leaving.has(standing.reading.instance)) {
    return undefined;
  }
  const { reading } = standing;
  const member = { host, instance: reading.instance, address };
  return { member, service, reading, lastModel };
}
