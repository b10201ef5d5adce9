import type { EngineModel, EngineProfile } from '../routing/index.js';
import { isWarm } from './form-groups.js';
import type { ModelNeeds } from './model-need.js';
import type { FreeEngine, GroupAdvance, GroupView } from './types.js';

/** Takes engines from a model that has more groups than it needs for one that has too few. */

/** What giving away is decided from. */
export interface GiveAwayInput {
  readonly profile: EngineProfile;
  readonly groups: readonly GroupView[];
  /** All engines that answer. */
  readonly engines: readonly FreeEngine[];
  /** Those that are in no group after forming. */
  readonly free: readonly FreeEngine[];
  readonly needs: ModelNeeds;
  /** Fabric domain of each host that is heard of. */
  readonly domains: ReadonlyMap<string, string>;
}

/**
 * Drains as many groups of a model that can spare them as one group of a needy model takes, all in one fabric domain.
 * Demand is seldom as declared: without this one model would refuse its callers while groups of another stand idle. It
 * waits while engines are coming free or a group is on its way, because those change what is needed next.
 */
export function giveAway(input: GiveAwayInput): readonly GroupAdvance[] {
  const { profile, groups, needs } = input;
  const isSettled = groups.every(({ group }) => group.phase === 'open');
  const needy = profile.models.find((model) => !needs.isCovered(model));
  if (!isSettled || needy === undefined) {
    return [];
  }
  const reason = `${needy.name} needs their engines more`;
  const donors = profile.models.filter((model) => model !== needy);
  const given = donors
    .flatMap((donor) => listOffers(input, needy, donor))
    .reduce<readonly GroupView[] | undefined>(
      (least, offer) => (least === undefined || offer.length < least.length ? offer : least),
      undefined,
    );
  return (given ?? []).map(({ group }) => ({ name: group.name, phase: 'draining', reason }));
}

/**
 * For each domain, the groups of a donor that would have to go there; none where that is not enough.
 * Only engines that have the weights of the needy model at hand count: others would stand idle while they load them.
 */
function listOffers(
  input: GiveAwayInput,
  needy: EngineModel,
  donor: EngineModel,
): readonly (readonly GroupView[])[] {
  const spare = input.needs.countSpare(donor);
  const warm = new Set(
    input.engines.filter((engine) => isWarm(engine, needy)).map(({ member }) => member.host),
  );
  const countWarm = ({ group }: GroupView): number =>
    group.members.filter(({ host }) => warm.has(host)).length;
  return [...new Set(input.domains.values())].flatMap((domain) => {
    const free = input.free.filter(
      ({ reading, member }) => reading.fabricDomain === domain && warm.has(member.host),
    ).length;
    const there = input.groups
      .filter((view) => view.group.model === donor.name && findDomain(input, view) === domain)
      .sort((one, other) => countWarm(other) - countWarm(one))
      .slice(0, spare);
    const wanted = there.findIndex((_, index) => {
      const given = there.slice(0, index + 1).reduce((sum, view) => sum + countWarm(view), 0);
      return free + given >= needy.groupSize;
    });
    return wanted === -1 ? [] : [there.slice(0, wanted + 1)];
  });
}

function findDomain({ domains }: GiveAwayInput, { group }: GroupView): string {
  return domains.get(group.members[0]?.host ?? '') ?? '';
}
