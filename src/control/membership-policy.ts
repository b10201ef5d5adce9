import type { Milliseconds } from '../common/index.js';
import type { ConsensusStatus } from '../consensus/index.js';

/** Decides when a control host asks for admission as a member of the log, and when the leader removes a silent one. Does no I/O. */

/**
 * A control host that has had no leader for this long asks the others for admission. Longer than an election, so that
 * followers do not ask when a leader fails.
 */
const admissionRequestDelay: Milliseconds = 1500;
/** A member that is silent for this long is removed, but only if enough voters remain. */
const removalDelay: Milliseconds = 2500;

/**
 * Maximum number of voters. Each change waits for a majority of them, and neither the requirements nor the settings allow
 * more control hosts. A further host is admitted only once another one is silent.
 */
const maximumVoters = 7;

/** The next action. */
export type MembershipStep =
  | { readonly type: 'wait' }
  | { readonly type: 'ask' }
  | { readonly type: 'remove'; readonly name: string };

const wait: MembershipStep = { type: 'wait' };

/**
 * Keeps the number of voters constant while control hosts are replaced.
 * A replaced host never returns. If it stayed a voter, its vote would be missing for good, and the next loss would leave
 * no quorum. A silent voter is removed only after another one has been admitted, so a network partition or a restart alone
 * changes nothing.
 */
export class MembershipPolicy {
  readonly #voterCount: number;
  readonly #silentSince = new Map<string, Milliseconds>();
  #leaderlessSince: Milliseconds | undefined;

  /** Creates a policy for a deployment that should have `voterCount` voters. */
  constructor(voterCount: number) {
    this.#voterCount = voterCount;
  }

  decide(status: ConsensusStatus, now: Milliseconds): MembershipStep {
    const { type } = status.view;
    this.#leaderlessSince = type === 'leaderless' ? (this.#leaderlessSince ?? now) : undefined;
    if (this.#leaderlessSince !== undefined) {
      return now - this.#leaderlessSince >= admissionRequestDelay ? { type: 'ask' } : wait;
    }
    return type === 'leader' ? this.#findSilent(status, now) : wait;
  }

  /** Whether a control host that is not a member may be admitted. */
  mayAdmit({ membership, silentMembers }: ConsensusStatus): boolean {
    return membership.voters.length < maximumVoters || silentMembers.length > 0;
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
      return silence >= removalDelay && (isLearner || voters.length > this.#voterCount);
    });
    return name === undefined ? wait : { type: 'remove', name };
  }
}
