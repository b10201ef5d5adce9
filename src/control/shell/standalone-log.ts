import { Ok, type Result } from 'ts-results';

import type { Failure } from '../../common/index.js';
import type { LeadershipView, ReplicatedLog, StateMachine } from '../../consensus/index.js';

/** A log of one control host in memory: for trials only, nothing survives a restart. */
export class StandaloneLog<Answer> implements ReplicatedLog<Answer> {
  readonly #machine: StateMachine<Answer>;
  #index = 0;

  constructor(machine: StateMachine<Answer>) {
    this.#machine = machine;
  }

  readonly propose = (command: string): Promise<Result<Answer, Failure>> => {
    this.#index += 1;
    return Promise.resolve(new Ok(this.#machine.apply(this.#index, command)));
  };

  readonly confirmRead = (): Promise<Result<number, Failure>> =>
    Promise.resolve(new Ok(this.#index));

  readonly view = (): LeadershipView => ({ type: 'leader', term: 1 });

  readonly staleness = (): number => 0;
}
