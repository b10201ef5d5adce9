import type { EngineProfile, RoutedService } from '../routing/index.js';
import { findDomainOfGroup, type AvailableEngine } from './available-engines.js';
import { findBestCandidate, type Candidate } from './candidates.js';
import type { EngineExchange } from './model-losses.js';
import type { CapacityNeeds } from './model-needs.js';
import { chooseExchanges } from './spare-exchange.js';
import type { GroupAdvance, GroupView, NewEngineGroup } from './types.js';

/** Decides which groups to form now, and which open groups to drain because their engines are of more use in another group. */

/** Input for forming groups. */
export interface FormationInput {
  readonly service: RoutedService;
  readonly profile: EngineProfile;
  readonly available: readonly AvailableEngine[];
  /** Groups that serve or are being formed. */
  readonly activeGroups: readonly GroupView[];
  readonly slowGroups: ReadonlySet<string>;
  readonly needs: CapacityNeeds;
  readonly hasTraffic: boolean;
  /** Whether groups may be drained for others: not while the demand is only estimated, as after a change of leader. */
  readonly mayDrain: boolean;
  readonly nextNumber: number;
  /** Fabric domain of each host whose engine answers. */
  readonly domains: ReadonlyMap<string, string>;
}

/** Groups to place, and groups to drain. */
export interface FormationDecision {
  readonly place: readonly NewEngineGroup[];
  readonly drain: readonly GroupAdvance[];
  /** Models of the groups that are placed, or whose engines are reserved until they are free. */
  readonly models: readonly string[];
  /** Groups that are drained for a group of another model. */
  readonly exchanges: readonly EngineExchange[];
}

/**
 * Greedily chooses the best group that could be formed, then the best of the remaining engines, and so on.
 * A group whose engines are not all free yet is not placed, but its engines are reserved. Without the reservation, the remaining
 * members of a lost group would go to a model that has enough groups, and the lost group would not be replaced: a model with large
 * groups went down to one group of four while the other model had a third more groups than its callers needed.
 */
export function formGroups(input: FormationInput): FormationDecision {
  const { profile, needs, hasTraffic, slowGroups, service } = input;
  const place: NewEngineGroup[] = [];
  const drain: GroupAdvance[] = [];
  const models: string[] = [];
  const exchanges: EngineExchange[] = [];
  const counts = countByDomain(input);
  const countInDomain = (domain: string, model: string): number =>
    counts.get(formatDomainModelKey(domain, model)) ?? 0;
  let available: readonly AvailableEngine[] = input.available.filter(
    ({ openGroup }) => input.mayDrain || openGroup === undefined,
  );
  for (;;) {
    const candidateInput = { profile, available, needs, hasTraffic, slowGroups, countInDomain };
    const best = findBestCandidate(candidateInput);
    if (best === undefined) {
      const mayExchange = !hasTraffic && place.length === 0 && drain.length === 0;
      const spares = mayExchange ? chooseExchanges({ ...input, models: profile.models }) : [];
      return { place, drain: [...drain, ...spares], models, exchanges };
    }
    if (best.members.every(({ timeUntilFree }) => timeUntilFree === 0)) {
      place.push(describeGroup(best, service, input.nextNumber + place.length));
    }
    exchanges.push(...listExchanges(best));
    drain.push(...best.groupsToDrain.map((view) => describeDrain(view, best)));
    needs.add(best.model.name);
    models.push(best.model.name);
    best.groupsToDrain
      .filter(({ group }) => !slowGroups.has(group.name))
      .forEach(({ group }) => {
        needs.remove(group.model);
      });
    const key = formatDomainModelKey(best.domain, best.model.name);
    counts.set(key, (counts.get(key) ?? 0) + 1);
    available = releaseDrained(available, best);
  }
}

function listExchanges({ model, groupsToDrain }: Candidate): readonly EngineExchange[] {
  return groupsToDrain
    .map(({ group }) => ({ from: group.model, to: model.name }))
    .filter(({ from, to }) => from !== to);
}

function countByDomain({ activeGroups, domains }: FormationInput): Map<string, number> {
  const counts = new Map<string, number>();
  for (const view of activeGroups) {
    const key = formatDomainModelKey(findDomainOfGroup(view, domains) ?? '', view.group.model);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return counts;
}

function formatDomainModelKey(domain: string, model: string): string {
  return `${domain} ${model}`;
}

/** The remaining engines. Those of drained groups no longer require a drain, so other candidates may use them. */
function releaseDrained(
  available: readonly AvailableEngine[],
  best: Candidate,
): readonly AvailableEngine[] {
  return available
    .filter((engine) => !best.members.includes(engine))
    .map((engine) => {
      const isReleased =
        engine.openGroup !== undefined && best.groupsToDrain.includes(engine.openGroup);
      return isReleased ? { ...engine, openGroup: undefined } : engine;
    });
}

function describeGroup(
  { model, members }: Candidate,
  service: RoutedService,
  number: number,
): NewEngineGroup {
  return {
    name: `${model.name}/${number}`,
    service: service.name,
    model: model.name,
    members: members.map(({ engine }) => engine.member),
  };
}

function describeDrain({ group }: GroupView, { model }: Candidate): GroupAdvance {
  return {
    name: group.name,
    phase: 'draining',
    reason: `its engines are needed for ${model.name}`,
  };
}
