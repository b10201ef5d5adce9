import { createFailure, type ResultCodeName } from '../../common/index.js';
import type { Group, GroupName, HostName } from '../../model/index.js';
import type { Command, GroupPlacement } from './commands.js';
import { stringifyCanonically } from './fingerprint.js';
import type { ApplyResult, ControlState } from './state.js';

/** Applies placements of groups: commands are atomic, fencing numbers only increase, and no host is in two groups. */

type PlaceGroups = Extract<Command, { readonly type: 'placeGroups' }>;

/** Places and dissolves groups; refuses the whole command if any part of it is invalid. */
export function applyPlaceGroups(state: ControlState, command: PlaceGroups): ApplyResult {
  // An old leader that does not know the new one yet may decide from an outdated state; its decision is refused.
  if (command.basedOn < state.groupsIndex) {
    const detail = `Decided at index ${command.basedOn}; groups changed at ${state.groupsIndex}.`;
    return refuse(state, 'stalePlacement', detail);
  }
  const groups = new Map(state.groups);
  command.dissolve.forEach((name) => groups.delete(name));
  let { fencingNumber } = state;
  const placed: Group[] = [];
  for (const placement of command.place) {
    const present = groups.get(placement.name);
    const isKept = present !== undefined && isSamePlacement(present, placement);
    fencingNumber = isKept ? fencingNumber : fencingNumber + 1;
    const group = { ...placement, fencingNumber: isKept ? present.fencingNumber : fencingNumber };
    groups.set(group.name, group);
    placed.push(group);
  }
  const shared = findSharedHost(groups);
  if (shared !== undefined) {
    const detail = `${shared.host} would be in ${shared.groups.join(' and ')}.`;
    return refuse(state, 'hostInTwoGroups', detail);
  }
  const next = { ...state, groups, fencingNumber, groupsIndex: state.index };
  return { state: next, answer: { type: 'placed', groups: placed } };
}

/** Whether at most `isDraining` differs, so that leases and attempts under the current fencing number stay valid. */
function isSamePlacement(group: Group, placement: GroupPlacement): boolean {
  return (
    group.declaration === placement.declaration &&
    stringifyCanonically(group.members) === stringifyCanonically(placement.members) &&
    stringifyCanonically(group.offer) === stringifyCanonically(placement.offer)
  );
}

interface SharedHost {
  readonly host: HostName;
  readonly groups: readonly GroupName[];
}

function findSharedHost(groups: ReadonlyMap<GroupName, Group>): SharedHost | undefined {
  const owners = new Map<HostName, GroupName>();
  for (const group of groups.values()) {
    for (const member of group.members) {
      const other = owners.get(member.host);
      if (other !== undefined) {
        return { host: member.host, groups: [other, group.name] };
      }
      owners.set(member.host, group.name);
    }
  }
  return undefined;
}

function refuse(state: ControlState, code: ResultCodeName, detail: string): ApplyResult {
  const failure = createFailure(code, detail);
  return { state, answer: { type: 'refused', failure, winner: undefined, differences: [] } };
}
