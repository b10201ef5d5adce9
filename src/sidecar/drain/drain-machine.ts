import { setup, type SnapshotFrom } from 'xstate';

/** State machine of a graceful shutdown; advanced by xstate's pure `transition`. */

/** Events that advance a graceful shutdown. */
export type DrainMachineEvent =
  | { readonly type: 'stopRequested' }
  /** All attempts that this sidecar admitted have ended. */
  | { readonly type: 'workEnded' }
  /** No lead can hold a lease on this host any more. */
  | { readonly type: 'holdReleased' }
  | { readonly type: 'limitReached' };

export const drainMachine = setup({
  types: { events: {} as DrainMachineEvent },
}).createMachine({
  id: 'drain',
  initial: 'serving',
  states: {
    serving: { on: { stopRequested: 'draining' } },
    /** The groups of this host admit no new attempts; running ones continue. */
    draining: { on: { workEnded: 'releasingLeases', limitReached: 'abortingAttempts' } },
    /** Releases the leases of groups led here and waits for leases that other leads hold on this host. */
    releasingLeases: { on: { holdReleased: 'left', limitReached: 'left' } },
    /** The operators' hard limit has passed: the remaining attempts are aborted. */
    abortingAttempts: { on: { workEnded: 'releasingLeases', holdReleased: 'left' } },
    left: { type: 'final' },
  },
});

export type DrainSnapshot = SnapshotFrom<typeof drainMachine>;
export type DrainState = DrainSnapshot['value'];
