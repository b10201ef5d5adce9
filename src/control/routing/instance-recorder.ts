import type { Result } from 'ts-results';

import type { Failure } from '../../common/index.js';
import { CommandBatcher, type CommandProposer } from './command-batcher.js';
import type { InstanceChanges } from './instance-tracker.js';

/** Writes instance changes from the leader to the replicated log. */

/**
 * Records instance changes; changes that arrive while an entry is being committed share the next one.
 * When hundreds of instances announce themselves at once, one entry per instance would be written, sent, applied and published to
 * every watcher one after another, and the last instance would wait for all the others.
 */
export class InstanceRecorder {
  readonly #batcher: CommandBatcher<InstanceChanges>;

  constructor(submitter: CommandProposer) {
    this.#batcher = new CommandBatcher(submitter, (all) => ({
      type: 'recordInstances',
      at: 0,
      ...mergeChanges(all),
    }));
  }

  /** Resolves when the changes are committed, or fails if their commit cannot be confirmed. */
  record(changes: InstanceChanges): Promise<Result<undefined, Failure>> {
    return this.#batcher.propose(changes);
  }
}

/**
 * Keeps the order of arrival. An instance that left stays removed, whatever else the entry says of it; a silent instance that
 * announced itself again is present.
 */
function mergeChanges(all: readonly InstanceChanges[]): InstanceChanges {
  return {
    present: all.flatMap(({ present }) => present),
    retired: all.flatMap(({ retired }) => retired),
    silent: all.flatMap(({ silent }) => silent),
    proved: all.flatMap(({ proved }) => proved ?? []),
  };
}
