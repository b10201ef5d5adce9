import type { EngineProfile } from '../routing/index.js';
import type { ModelNeeds } from './model-need.js';
import type { GroupAdvance, GroupView } from './types.js';

/** Takes engines from a model that has more groups than it needs for one that has too few. */

/**
 * Drains one group, at most, of a model that can spare it.
 * Demand is seldom as declared: without this one model would refuse its callers while groups of another stand idle. One
 * at a time, and none while another is on its way, because the engines that come free change what is needed next.
 */
export function giveAway(
  profile: EngineProfile,
  groups: readonly GroupView[],
  needs: ModelNeeds,
): readonly GroupAdvance[] {
  const isSettled = groups.every(({ group }) => group.phase === 'open');
  const needy = profile.models.find((model) => !needs.isCovered(model));
  if (!isSettled || needy === undefined) {
    return [];
  }
  const donors = profile.models.filter(
    (model) => model.name !== needy.name && needs.canSpare(model),
  );
  const donor = groups.find(({ group }) => donors.some(({ name }) => name === group.model));
  if (donor === undefined) {
    return [];
  }
  const reason = `${needy.name} needs its engines more`;
  return [{ name: donor.group.name, phase: 'draining', reason }];
}
