import type { Command } from './commands.js';
import type { Applied, ControlState } from './state.js';

/** Routing documents. */

type PutRouting = Extract<Command, { readonly type: 'putRouting' }>;

/** Puts the document in force when its version is higher; an older one is answered alike and changes nothing. */
export function applyPutRouting(state: ControlState, { document }: PutRouting): Applied {
  const present = state.routing.document;
  if (present !== undefined && document.version <= present.version) {
    return { state, answer: { type: 'routed', version: present.version } };
  }
  const routing = { ...state.routing, document };
  return { state: { ...state, routing }, answer: { type: 'routed', version: document.version } };
}
