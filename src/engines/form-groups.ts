import type { EngineProfile, RoutedService } from '../routing/index.js';
import { findBestCandidate, type Candidate } from './candidates.js';
import type { ModelNeeds } from './model-need.js';
import type { AvailableEngine } from './available-engines.js';
import type { GroupAdvance, GroupView, NewEngineGroup } from './types.js';

/** Decides which groups to form now, and which open ones to drain for a better use of their engines. */

/** What forming is decided from. */
export interface FormingInput {
  readonly service: RoutedService;
  readonly profile: EngineProfile;
  readonly available: readonly AvailableEngine[];
  /** Groups that serve or are on their way. */
  readonly working: readonly GroupView[];
  readonly slowGroups: ReadonlySet<string>;
  readonly needs: ModelNeeds;
  readonly hasTraffic: boolean;
  /** Whether groups may be drained for others: not while the demand is a guess, as after a change of the leader. */
  readonly mayDrain: boolean;
  readonly nextNumber: number;
  /** Fabric domain of each host that is heard of. */
  readonly domains: ReadonlyMap<string, string>;
}

/** What to form, and what to drain for it. */
export interface FormingDecision {
  readonly place: readonly NewEngineGroup[];
  readonly drain: readonly GroupAdvance[];
}

/**
 * Takes the best group that could be formed, then the best of what is left, and so on.
 * A group that waits for engines which are still coming free is not placed yet, but what it needs is kept for it. Without that the
 * survivors of a lost group would be used up by a model that has enough, and the one that lost a group would get no other: a
 * model whose groups are large went down to one group of four while the other one had a third more than its callers needed.
 */
export function formGroups(input: FormingInput): FormingDecision {
  const { profile, needs, hasTraffic, slowGroups, service } = input;
  const place: NewEngineGroup[] = [];
  const drain: GroupAdvance[] = [];
  const counts = countByDomain(input);
  const countInDomain = (domain: string, model: string): number =>
    counts.get(describePlace(domain, model)) ?? 0;
  let available: readonly AvailableEngine[] = input.available.filter(
    ({ heldBy }) => input.mayDrain || heldBy === undefined,
  );
  for (;;) {
    const candidateInput = { profile, available, needs, hasTraffic, slowGroups, countInDomain };
    const best = findBestCandidate(candidateInput);
    if (best === undefined) {
      return { place, drain };
    }
    if (best.members.every(({ freeIn }) => freeIn === 0)) {
      place.push(describeGroup(best, service, input.nextNumber + place.length));
    }
    drain.push(...best.drained.map((view) => describeDrain(view, best)));
    needs.add(best.model.name);
    best.drained
      .filter(({ group }) => !slowGroups.has(group.name))
      .forEach(({ group }) => {
        needs.remove(group.model);
      });
    const key = describePlace(best.domain, best.model.name);
    counts.set(key, (counts.get(key) ?? 0) + 1);
    available = releaseDrained(available, best);
  }
}

function countByDomain({ working, domains }: FormingInput): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { group } of working) {
    const key = describePlace(domains.get(group.members[0]?.host ?? '') ?? '', group.model);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return counts;
}

function describePlace(domain: string, model: string): string {
  return `${domain} ${model}`;
}

/** What is left: those that are not taken, and of drained groups those that are then free for others. */
function releaseDrained(
  available: readonly AvailableEngine[],
  best: Candidate,
): readonly AvailableEngine[] {
  return available
    .filter((engine) => !best.members.includes(engine))
    .map((engine) => {
      const isReleased = engine.heldBy !== undefined && best.drained.includes(engine.heldBy);
      return isReleased ? { ...engine, heldBy: undefined } : engine;
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
    reason: `${model.name} needs their engines more`,
  };
}
