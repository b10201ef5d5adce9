import { setup, type SnapshotFrom } from 'xstate';

/** Life cycle of a planned stop; stepped by xstate's pure transition. */

/** What moves a planned stop on. */
export type DrainMachineEvent =
  | { readonly type: 'stopRequested' }
  /** No attempt that this sidecar admitted is left. */
  | { readonly type: 'workEnded' }
  /** No lead may count on this host any more. */
  | { readonly type: 'freed' }
  | { readonly type: 'limitReached' };

export const drainMachine = setup({
  types: { events: {} as DrainMachineEvent },
}).createMachine({
  id: 'drain',
  initial: 'serving',
  states: {
    serving: { on: { stopRequested: 'draining' } },
    /** The groups of this host take no new work; what they have goes on. */
    draining: { on: { workEnded: 'handingBack', limitReached: 'cutting' } },
    /** The groups that this host leads are given up; those that others lead are waited for. */
    handingBack: { on: { freed: 'left', limitReached: 'left' } },
    /** The operators' hard limit goes before the work that is left. */
    cutting: { on: { workEnded: 'handingBack', freed: 'left' } },
    left: { type: 'final' },
  },
});

export type DrainSnapshot = SnapshotFrom<typeof drainMachine>;
export type DrainState = DrainSnapshot['value'];
