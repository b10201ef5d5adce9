import { Err, type Result } from 'ts-results';

import { createFailure, type Failure } from '../common/index.js';

/**
 * Answers calls of operators and instances on a control host without a disk.
 * Such a host has no persistent storage, so it cannot vote: a vote that is forgotten at a restart could elect two leaders.
 * A deployment that starts control on some of its hosts may start it on such a host. Each call is refused at once, so that
 * the caller tries another control host.
 */
export class StandbyControl {
  readonly leaderName = undefined;
  readonly isLeader = false;
  readonly canEvacuate: boolean;

  /** `canEvacuate`: whether the deployment has evacuations. */
  constructor(canEvacuate: boolean) {
    this.canEvacuate = canEvacuate;
  }

  put(): Promise<Result<number, Failure>> {
    return refuse();
  }

  read(): Promise<Result<string, Failure>> {
    return refuse();
  }

  announce(): Promise<Result<undefined, Failure>> {
    return refuse();
  }

  setEvacuation(): Promise<Result<boolean, Failure>> {
    return refuse();
  }

  refuseAnnouncement(_id: string, reason: string): Failure {
    return createFailure('unusableAnnouncement', reason);
  }
}

function refuse(): Promise<Result<never, Failure>> {
  return Promise.resolve(new Err(createFailure('noQuorum', 'this control host has no disk')));
}
