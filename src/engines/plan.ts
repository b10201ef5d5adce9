import type { RoutedService } from '../routing/index.js';
import { formGroups } from './form-groups.js';
import { ModelNeeds } from './model-need.js';
import { longestSilence, reviewGroup } from './review-groups.js';
import { giveAway } from './give-away.js';
import { chooseStaging } from './staging.js';
import type {
  EngineDecision,
  EngineView,
  FreeEngine,
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
        kept.push({ ...view, group: { ...view.group, phase: verdict.advance.phase } });
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
  const placed = new Set(groups.flatMap(({ group }) => group.members.map(({ host }) => host)));
  const working = groups
    .map(({ group }) => group)
    .filter(({ phase }) => phase === 'joining' || phase === 'opening' || phase === 'open');
  const needs = new ModelNeeds(profile, engines.length, working, input.demand);
  const free = engines.filter(({ member }) => !placed.has(member.host));
  const { hasTraffic, loadsAllowed } = input;
  const domains = new Map(
    engines.map(({ member, reading }) => [member.host, reading.fabricDomain]),
  );
  const reserved = listReserved(groups, domains);
  const place = input.isSettling
    ? []
    : formGroups({ service, profile, free, needs, hasTraffic, nextNumber, reserved });
  const groupModels = new Map(
    [...working, ...place].flatMap(({ members, model }) =>
      members.map(({ host }): [string, string] => [host, model]),
    ),
  );
  const neediest = needs.findNeediest();
  const staging = {
    profile,
    engines,
    groupModels,
    hasTraffic,
    loadsAllowed,
    pending: input.pendingStaging,
    neediest,
  };
  const left = free.filter(({ member }) => !groupModels.has(member.host));
  const advance =
    place.length > 0 ? [] : giveAway({ profile, groups, engines, free: left, needs, domains });
  return { place, stage: chooseStaging(staging), advance };
}

/** An engine that answers, was heard of lately and stays; undefined for any other. */
function describeEngine(view: EngineView, input: PlannerInput): FreeEngine | undefined {
  const { facts, host, silence } = view;
  const { reading, address, service, lastModel } = facts;
  if (reading === undefined || silence > longestSilence || input.draining.has(reading.instance)) {
    return undefined;
  }
  const member = { host, instance: reading.instance, address };
  return { member, service, reading, lastModel };
}

/** Fabric domains in which a group is being given up. */
function listReserved(
  groups: readonly GroupView[],
  domains: ReadonlyMap<string, string>,
): ReadonlySet<string> {
  const given = groups.filter(
    ({ group }) => group.phase === 'draining' || group.phase === 'closing',
  );
  return new Set(given.flatMap(({ group }) => domains.get(group.members[0]?.host ?? '') ?? []));
}
