import type { Milliseconds } from '../common/index.js';
import type { EngineGroup, RoutedService } from '../routing/index.js';
import type { ModelNeeds } from './model-needs.js';
import type { EngineView, GroupAdvance, GroupView, PlannerInput } from './types.js';

/** Decides when groups with a member in an evacuated failure domain are drained. */

/**
 * An evacuated group is drained after this time even if its model lacks capacity. A drain takes up to 1.8 s more, and deployments allow
 * 5 s until the last request is sent to an evacuated domain.
 */
const latestDrain: Milliseconds = 2000;

/** The input that shows which groups are evacuated. */
type EvacuationInput = Pick<PlannerInput, 'evacuations' | 'engines'>;

/** Whether the engine is in a failure domain that is evacuated. */
export function isInEvacuatedDomain(
  { facts }: EngineView,
  { evacuations }: EvacuationInput,
): boolean {
  return evacuations.has(facts.failureDomain);
}

/** Whether a member of the group is in a failure domain that is evacuated. */
export function isEvacuated(group: EngineGroup, input: EvacuationInput): boolean {
  return input.evacuations.size > 0 && findEvacuationAge(group, input) !== undefined;
}

/** Input for draining the evacuated groups of a service. */
export interface EvacuationDrainInput extends EvacuationInput {
  readonly service: RoutedService;
  /** All groups, with their phases after this plan's transitions. */
  readonly groups: readonly GroupView[];
  /** Demand, and the open groups outside evacuated domains. */
  readonly openNeeds: ModelNeeds;
  /** Models for which groups are being formed outside evacuated domains, or are formed by this plan. */
  readonly modelsInFormation: ReadonlySet<string>;
  /** Whether groups may be drained before the latest time: not while engines or the demand are not fully known. */
  readonly mayDrainEarly: boolean;
}

/**
 * Drains the open groups of a model once its groups elsewhere serve its demand or no group of it is being formed elsewhere. Until then
 * they serve, because gateways use them only if no other group has capacity.
 */
export function chooseEvacuationDrains(input: EvacuationDrainInput): readonly GroupAdvance[] {
  return input.groups.flatMap(({ group }) => {
    const isCandidate = group.service === input.service.name && group.phase === 'open';
    const age = isCandidate ? findEvacuationAge(group, input) : undefined;
    const reason = age === undefined ? undefined : findDrainReason(group, age, input);
    return reason === undefined ? [] : [{ name: group.name, phase: 'draining', reason }];
  });
}

function findDrainReason(
  { model: name }: EngineGroup,
  age: Milliseconds,
  { service, openNeeds, modelsInFormation, mayDrainEarly }: EvacuationDrainInput,
): string | undefined {
  if (age >= latestDrain) {
    return 'its failure domain is evacuated, and the time to replace it is over';
  }
  if (!mayDrainEarly) {
    return undefined;
  }
  const model = service.engine?.models.find((each) => each.name === name);
  if (model === undefined || openNeeds.coverageOf(model) >= 1) {
    return 'its failure domain is evacuated, and groups elsewhere serve the demand';
  }
  return modelsInFormation.has(name)
    ? undefined
    : 'its failure domain is evacuated, and no group can be formed elsewhere';
}

/** Time since the first evacuation that affects the group has been known; undefined if none affects it. */
function findEvacuationAge(
  { members }: EngineGroup,
  { evacuations, engines }: EvacuationInput,
): Milliseconds | undefined {
  const ages = members.flatMap(({ host, failureDomain }) => {
    // Groups that an earlier version placed do not name the domains of their members.
    const domain = failureDomain ?? engines.get(host)?.facts.failureDomain;
    return domain === undefined ? [] : (evacuations.get(domain) ?? []);
  });
  return ages.length === 0 ? undefined : Math.max(...ages);
}
