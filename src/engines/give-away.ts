import type { EngineModel, EngineProfile } from '../routing/index.js';
import type { ModelNeeds } from './model-need.js';
import type { FreeEngine, GroupAdvance, GroupView } from './types.js';

/** Takes engines from a model that has more groups than it needs for one that has too few. */

/** What giving away is decided from. */
export interface GiveAwayInput {
  readonly profile: EngineProfile;
  readonly groups: readonly GroupView[];
  /** Engines that are in no group after forming. */
  readonly free: readonly FreeEngine[];
  readonly needs: ModelNeeds;
  /** Fabric domain of each host that is heard of. */
  readonly domains: ReadonlyMap<string, string>;
}

/**
 * Drains one group, at most, of a model that can spare it.
 * Demand is seldom as declared: without this one model would refuse its callers while groups of another stand idle. One at
 * a time, and none while engines are coming free or a group is on its way, because those change what is needed next.
 */
export function giveAway(input: GiveAwayInput): readonly GroupAdvance[] {
  const { profile, groups, needs } = input;
  const isSettled = groups.every(({ group }) => group.phase === 'open');
  const needy = profile.models.find((model) => !needs.isCovered(model));
  if (!isSettled || needy === undefined) {
    return [];
  }
  const donors = new Set(
    profile.models
      .filter((model) => model.name !== needy.name && needs.canSpare(model))
      .map(({ name }) => name),
  );
  const spare = groups.filter(({ group }) => donors.has(group.model));
  const donor = spare.find((view) => isEnough(input, needy, spare, findDomain(input, view)));
  if (donor === undefined) {
    return [];
  }
  const reason = `${needy.name} needs its engines more`;
  return [{ name: donor.group.name, phase: 'draining', reason }];
}

/** Whether a domain would have the engines for a group, with those of the groups that can be spared there. */
function isEnough(
  input: GiveAwayInput,
  needy: EngineModel,
  spare: readonly GroupView[],
  domain: string,
): boolean {
  const free = input.free.filter(({ reading }) => reading.fabricDomain === domain).length;
  const given = spare
    .filter((view) => findDomain(input, view) === domain)
    .reduce((sum, { group }) => sum + group.members.length, 0);
  return free + given >= needy.groupSize;
}

function findDomain({ domains }: GiveAwayInput, { group }: GroupView): string {
  return domains.get(group.members[0]?.host ?? '') ?? '';
}
