import { assign, setup, type SnapshotFrom } from 'xstate';

/** State machine of the single order that a sidecar may have in progress; advanced by xstate's pure `transition`. */

/** Events in the life of an order. */
export type OrderMachineEvent =
  | { readonly type: 'sent' }
  | { readonly type: 'accepted' }
  | { readonly type: 'done' }
  | { readonly type: 'failed' }
  | { readonly type: 'fenced' }
  | { readonly type: 'retried' }
  | { readonly type: 'dropped' };

export const orderMachine = setup({
  types: { context: {} as { readonly failures: number }, events: {} as OrderMachineEvent },
}).createMachine({
  id: 'order',
  initial: 'idle',
  context: { failures: 0 },
  on: { dropped: { target: '.idle', actions: assign({ failures: 0 }) } },
  states: {
    idle: { on: { sent: 'sending' } },
    sending: {
      on: {
        accepted: 'running',
        failed: {
          target: 'backingOff',
          actions: assign({ failures: ({ context }) => context.failures + 1 }),
        },
        fenced: 'fenced',
        done: { target: 'idle', actions: assign({ failures: 0 }) },
      },
    },
    running: {
      on: {
        failed: {
          target: 'backingOff',
          actions: assign({ failures: ({ context }) => context.failures + 1 }),
        },
        done: { target: 'idle', actions: assign({ failures: 0 }) },
      },
    },
    backingOff: {
      on: { retried: 'idle', done: { target: 'idle', actions: assign({ failures: 0 }) } },
    },
    /** The engine already serves a newer placement: no order is sent until this sidecar learns of it too. */
    fenced: {},
  },
});

export type OrderSnapshot = SnapshotFrom<typeof orderMachine>;
