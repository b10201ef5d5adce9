import type { Milliseconds } from '../common/index.js';
import type { ConsensusStatus } from '../consensus/index.js';

/** Decides when a control host asks to be taken into the log, and when the leader takes a silent one out; free of I/O. */

/**
 * A control host that hears no leader for this long asks the others to take it in. Longer than an election, so that a lost leader
 * does not make its followers ask.
 */
const askAfter: Milliseconds = 1500;
/** A member that is silent for this long is taken out, but only where enough others vote. */
const removeAfter: Milliseconds = 2500;

/**
 * Voters at most. Each change waits for more than half of them, and letter and settings allow no more hosts for control; one more
 * than that waits until another one is silent.
 */
const mostVoters = 7;

/** What to do now. */
export type MembershipStep =
  | { readonly type: 'wait' }
  | { readonly type: 'ask' }
  | { readonly type: 'remove'; readonly name: string };

const wait: MembershipStep = { type: 'wait' };

/**
 * Keeps the number of voters while control hosts are replaced for good.
 * A replaced host never comes back, and without this its vote would be missing for ever: the next loss would leave no quorum. A
 * silent voter is taken out only when another one has been taken in, so a cut or a restart alone changes nothing.
 */
export class MembershipPolicy {
  readonly #voterCount: number;
  readonly #silentSince = new Map<string, Milliseconds>();
  #leaderlessSince: Milliseconds | undefined;

  /** Number of voters that the deployment is to have. */
  constructor(voterCount: number) {
    this.#voterCount = voterCount;
  }

  decide(status: ConsensusStatus, now: Milliseconds): MembershipStep {
    const { type } = status.view;
    this.#leaderlessSince = type === 'leaderless' ? (this.#leaderlessSince ?? now) : undefined;
    if (this.#leaderlessSince !== undefined) {
      return now - this.#leaderlessSince >= askAfter ? { type: 'ask' } : wait;
    }
    return type === 'leader' ? this.#findSilent(status, now) : wait;
  }

  /** Whether a control host that is no member may be taken in. */
  mayAdmit({ membership, silentMembers }: ConsensusStatus): boolean {
    return membership.voters.length < mostVoters || silentMembers.length > 0;
  }

  #findSilent({ membership, silentMembers }: ConsensusStatus, now: Milliseconds): MembershipStep {
    for (const name of this.#silentSince.keys()) {
      if (!silentMembers.includes(name)) {
        this.#silentSince.delete(name);
      }
    }
    for (const name of silentMembers) {
      this.#silentSince.set(name, this.#silentSince.get(name) ?? now);
    }
    const voters = membership.voters.map(({ name }) => name);
    const name = silentMembers.find((each) => {
      const silence = now - (this.#silentSince.get(each) ?? now);
      const isLearner = !voters.includes(each);
      return silence >= removeAfter && (isLearner || voters.length > this.#voterCount);
    });
    return name === undefined ? wait : { type: 'remove', name };
  }
}
