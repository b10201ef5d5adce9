import { Ok, type Result } from 'ts-results';

import type { Failure } from '../../common/index.js';
import type { CommandSubmitter } from '../shell/command-submitter.js';
import type { InstanceChanges } from './instance-book.js';

/** Brings what the leader learned of instances into the log. */

interface Waiting {
  readonly changes: InstanceChanges;
  readonly resolve: (result: Result<undefined, Failure>) => void;
}

/**
 * Records changes of instances; those that come while one is under way share the next entry.
 * When hundreds of instances announce themselves at once, an entry for each would be written, sent, applied and told to every watcher one by
 * one, and the last of them would wait for all the others.
 */
export class InstanceRecorder {
  readonly #submitter: Pick<CommandSubmitter, 'proposeHere'>;
  #waiting: Waiting[] = [];
  #isRecording = false;

  constructor(submitter: Pick<CommandSubmitter, 'proposeHere'>) {
    this.#submitter = submitter;
  }

  /** Resolves once the changes are committed, or it is known that they may not be. */
  record(changes: InstanceChanges): Promise<Result<undefined, Failure>> {
    return new Promise((resolve) => {
      this.#waiting.push({ changes, resolve });
      if (!this.#isRecording) {
        void this.#recordAll();
      }
    });
  }

  async #recordAll(): Promise<void> {
    this.#isRecording = true;
    while (this.#waiting.length > 0) {
      const batch = this.#waiting;
      this.#waiting = [];
      const result = await this.#propose(batch.map(({ changes }) => changes));
      batch.forEach(({ resolve }) => {
        resolve(result);
      });
    }
    this.#isRecording = false;
  }

  async #propose(all: readonly InstanceChanges[]): Promise<Result<undefined, Failure>> {
    const result = await this.#submitter.proposeHere({
      type: 'recordInstances',
      at: 0,
      ...mergeChanges(all),
    });
    return result.ok ? new Ok(undefined) : result;
  }
}

/** In the order in which they came. Who left stays gone, whatever else the entry says of it; who was only silent and spoke is there. */
function mergeChanges(all: readonly InstanceChanges[]): InstanceChanges {
  return {
    present: all.flatMap(({ present }) => present),
    retired: all.flatMap(({ retired }) => retired),
    silent: all.flatMap(({ silent }) => silent),
    proved: all.flatMap(({ proved }) => proved ?? []),
  };
}
