import { initialTransition, setup, transition, type SnapshotFrom } from 'xstate';

/** The roles of a control host, as a state machine. */

export type Role = 'follower' | 'preCandidate' | 'candidate' | 'leader';

export type RoleEvent =
  | { readonly type: 'electionTimeout' }
  /** The leader asked this host to take its place. */
  | { readonly type: 'invited' }
  | { readonly type: 'preVoteWon' }
  | { readonly type: 'voteWon' }
  /** A leader or a voter of this or a higher term was heard. */
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

/** Holds the role and steps it by the machine's pure transition function. */
export class RoleKeeper {
  #snapshot: SnapshotFrom<typeof roleMachine> = initialTransition(roleMachine)[0];

  get role(): Role {
    return this.#snapshot.value;
  }

  step(event: RoleEvent): void {
    this.#snapshot = transition(roleMachine, this.#snapshot, event)[0];
  }
}
