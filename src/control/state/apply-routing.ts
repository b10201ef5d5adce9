import type { Command } from './commands.js';
import type { ApplyResult, ControlState } from './state.js';

/** Applies routing documents. */

type PutRouting = Extract<Command, { readonly type: 'putRouting' }>;

/** Replaces the routing document if the version is higher; otherwise the state stays unchanged and the answer has the current version. */
export function applyPutRouting(state: ControlState, { document }: PutRouting): ApplyResult {
  const present = state.routing.document;
  if (present !== undefined && document.version <= present.version) {
    return { state, answer: { type: 'routed', version: present.version } };
  }
  const routing = { ...state.routing, document };
  return { state: { ...state, routing }, answer: { type: 'routed', version: document.version } };
}
