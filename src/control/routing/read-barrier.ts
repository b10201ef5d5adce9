import { setTimeout as sleep } from 'node:timers/promises';

import type { Result } from 'ts-results';

import type { Clock, Failure, Milliseconds } from '../../common/index.js';
import type { ReplicatedLog } from '../../consensus/index.js';

/** Tells whether this control host has applied every change that was acknowledged before a call. */

/** Longest wait for entries that this host has not applied yet. */
const catchUpLimit: Milliseconds = 500;
const pollInterval: Milliseconds = 10;

export interface ReadBarrierOptions {
  readonly log: Pick<ReplicatedLog<unknown>, 'appliedIndex' | 'confirmRead' | 'view'>;
  readonly clock: Clock;
  /** Asks the leader, given by name, for the log index at which a read is linearizable. */
  readonly confirmAtLeader: (leader: string) => Promise<Result<number, Failure>>;
}

export class ReadBarrier {
  readonly #options: ReadBarrierOptions;

  constructor(options: ReadBarrierOptions) {
    this.#options = options;
  }

  /** False if no leader confirms its log in time, or this host stays behind it. */
  async pass(): Promise<boolean> {
    const confirmed = await this.#confirm();
    return confirmed?.ok === true && (await this.#catchUp(confirmed.val));
  }

  #confirm(): Promise<Result<number, Failure>> | undefined {
    const { log, confirmAtLeader } = this.#options;
    const view = log.view();
    switch (view.type) {
      case 'leader':
        return log.confirmRead();
      case 'follower':
        return confirmAtLeader(view.leader);
      case 'leaderless':
        return undefined;
    }
  }

  async #catchUp(index: number): Promise<boolean> {
    const { log, clock } = this.#options;
    const end = clock.monotonic() + catchUpLimit;
    while (log.appliedIndex() < index) {
      if (clock.monotonic() >= end) {
        return false;
      }
      await sleep(pollInterval);
    }
    return true;
  }
}
