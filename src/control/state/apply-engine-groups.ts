import { createFailure, type ResultCodeName } from '../../common/index.js';
import type { EngineGroup } from '../../routing/index.js';
import type { Command } from './commands.js';
import type { ApplyResult, ControlState } from './state.js';

/** Applies plans of engine groups: commands are atomic, fencing numbers only increase, and no engine is in two groups. */

type PlanEngineGroups = Extract<Command, { readonly type: 'planEngineGroups' }>;

/** Places, advances and removes groups; refuses the whole command if any part of it is invalid. */
export function applyPlanEngineGroups(state: ControlState, command: PlanEngineGroups): ApplyResult {
  const { engineGroups, engineGroupsIndex } = state.routing;
  if (command.basedOn < engineGroupsIndex) {
    const detail = `Decided at index ${command.basedOn}; groups changed at ${engineGroupsIndex}.`;
    return refuse(state, 'stalePlacement', detail);
  }
  const groups = new Map(engineGroups);
  command.remove.forEach((name) => groups.delete(name));
  for (const { name, phase } of command.advance) {
    const group = groups.get(name);
    if (group !== undefined) {
      groups.set(name, { ...group, phase });
    }
  }
  let { fencingNumber } = state;
  for (const placement of command.place) {
    fencingNumber += 1;
    groups.set(placement.name, { ...placement, fencingNumber, phase: 'joining' });
  }
  const shared = findSharedEngine(groups);
  if (shared !== undefined) {
    return refuse(state, 'hostInTwoGroups', `${shared} would be in two groups of engines.`);
  }
  const routing = { ...state.routing, engineGroups: groups, engineGroupsIndex: state.index };
  return { state: { ...state, fencingNumber, routing }, answer: { type: 'planned' } };
}

/** Host of an engine that is a member of two groups. */
function findSharedEngine(groups: ReadonlyMap<string, EngineGroup>): string | undefined {
  const hosts = [...groups.values()].flatMap(({ members }) => members.map(({ host }) => host));
  const seen = new Set<string>();
  return hosts.find((host) => {
    const isShared = seen.has(host);
    seen.add(host);
    return isShared;
  });
}

function refuse(state: ControlState, code: ResultCodeName, detail: string): ApplyResult {
  const failure = createFailure(code, detail);
  return { state, answer: { type: 'refused', failure, winner: undefined, differences: [] } };
}
