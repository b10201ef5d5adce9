import type { Result } from 'ts-results';

import type { Failure } from '../common/index.js';

/** The interface of the replicated log to the rest of the control process. */

/** Whether this control host leads, follows, or knows no leader. */
export type LeadershipView =
  | { readonly type: 'leader'; readonly term: number }
  | { readonly type: 'follower'; readonly term: number; readonly leader: string }
  | { readonly type: 'leaderless'; readonly term: number };

/** The state machine that applies the log's commands. All methods are synchronous and free of I/O. */
export interface StateMachine<Answer> {
  /** Applies one committed command, given as JSON text, and returns the answer for its submitter. */
  readonly apply: (index: number, command: string) => Answer;
  /** The whole state as JSON text. */
  readonly takeSnapshot: () => string;
  readonly restoreSnapshot: (index: number, snapshot: string) => void;
}

/** A log that is replicated to all control hosts. */
export interface ReplicatedLog<Answer> {
  /** Resolves once the command is committed and applied here, or with a failure (`noQuorum`, `changeUncertain`). Leader only. */
  readonly propose: (command: string) => Promise<Result<Answer, Failure>>;
  /** Resolves with the index at which a read is linearizable, confirmed by a quorum round after the call. Leader only. */
  readonly confirmRead: () => Promise<Result<number, Failure>>;
  readonly view: () => LeadershipView;
  /** Index of the last entry that is applied on this host. */
  readonly appliedIndex: () => number;
  /** Milliseconds since this host was last known to be up to date with a leader that had a quorum. */
  readonly staleness: () => number;
}
