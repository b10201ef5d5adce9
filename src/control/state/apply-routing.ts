import type { Instance } from '../../routing/index.js';
import type { Command } from './commands.js';
import type { RoutingState } from './routing-state.js';
import type { Applied, ControlState } from './state.js';

/** Routing documents and instances. */

type PutRouting = Extract<Command, { readonly type: 'putRouting' }>;
type RecordInstances = Extract<Command, { readonly type: 'recordInstances' }>;

/**
 * Retired instances that are remembered. An announcement is late by seconds, and a large deployment replaces some
 * hundreds of instances a day, so this covers more than a day.
 */
const rememberedRetired = 1000;

/** Puts the document in force when its version is higher; an older one is answered alike and changes nothing. */
export function applyPutRouting(state: ControlState, { document }: PutRouting): Applied {
  const present = state.routing.document;
  if (present !== undefined && document.version <= present.version) {
    return { state, answer: { type: 'routed', version: present.version } };
  }
  const routing = { ...state.routing, document };
  return { state: { ...state, routing }, answer: { type: 'routed', version: document.version } };
}

/** Takes instances in and out. */
export function applyRecordInstances(state: ControlState, command: RecordInstances): Applied {
  const instances = new Map(state.routing.instances);
  const retired = [...state.routing.retired];
  for (const id of [...command.retired, ...command.silent]) {
    instances.delete(id);
  }
  retired.push(...command.retired.filter((id) => !retired.includes(id)));
  for (const instance of command.present.filter(({ id }) => !retired.includes(id))) {
    const replaced = findAtAddress(instances, instance);
    if (replaced !== undefined) {
      // Two instances never share an address: the other one is gone, and what it said last may still be on its way.
      instances.delete(replaced.id);
      retired.push(replaced.id);
    }
    instances.set(instance.id, instance);
  }
  const routing: RoutingState = {
    ...state.routing,
    instances,
    retired: retired.slice(-rememberedRetired),
  };
  return { state: { ...state, routing }, answer: { type: 'recorded' } };
}

function findAtAddress(
  instances: ReadonlyMap<string, Instance>,
  { id, address }: Instance,
): Instance | undefined {
  return [...instances.values()].find((other) => other.address === address && other.id !== id);
}
