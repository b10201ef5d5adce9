import { initialTransition, setup, transition, type SnapshotFrom } from 'xstate';

/** The role of a control host, as a state machine. */

export type Role = 'follower' | 'preCandidate' | 'candidate' | 'leader';

export type RoleEvent =
  | { readonly type: 'electionTimeout' }
  /** The leader asked this host to succeed it. */
  | { readonly type: 'invited' }
  | { readonly type: 'preVoteWon' }
  | { readonly type: 'voteWon' }
  /** A message of a leader of this term, or of any host with a higher term, was received. */
  | { readonly type: 'superseded' }
  | { readonly type: 'quorumLost' }
  | { readonly type: 'removed' };

const roleMachine = setup({ types: { events: {} as RoleEvent } }).createMachine({
  id: 'role',
  initial: 'follower',
  states: {
    follower: { on: { electionTimeout: 'preCandidate', invited: 'candidate' } },
    preCandidate: {
      on: { preVoteWon: 'candidate', superseded: 'follower', removed: 'follower' },
    },
    candidate: {
      on: {
        voteWon: 'leader',
        electionTimeout: 'preCandidate',
        superseded: 'follower',
        removed: 'follower',
      },
    },
    leader: { on: { superseded: 'follower', quorumLost: 'follower', removed: 'follower' } },
  },
});

/** Holds the current role; each step uses the state machine's pure transition function. */
export class RoleStateMachine {
  #snapshot: SnapshotFrom<typeof roleMachine> = initialTransition(roleMachine)[0];

  get role(): Role {
    return this.#snapshot.value;
  }

  step(event: RoleEvent): void {
    this.#snapshot = transition(roleMachine, this.#snapshot, event)[0];
  }
}
