import type { Failure, Milliseconds } from '../../common/index.js';
import type { LeadershipView } from '../replicated-log.js';
import type { HardState, LogEntry, Snapshot } from './entry.js';
import type { Member, NodeName, StorageId } from './membership.js';
import type { ConsensusMessage } from './messages.js';

/** Events that the core handles, and effects that it asks its host to execute. */

/** A command to append to the log; the caller of the core chooses the id. */
export interface Proposal {
  readonly proposalId: number;
  readonly command: string;
}

/** A change of one member, requested by an operator or made by the leader. */
export type MembershipChange =
  | { readonly type: 'admit'; readonly member: Member }
  | { readonly type: 'remove'; readonly name: NodeName };

interface Timed {
  /** Monotonic clock reading. */
  readonly now: Milliseconds;
}

export type ConsensusEvent =
  | (Timed & { readonly type: 'tick' })
  | (Timed & {
      readonly type: 'received';
      readonly from: NodeName;
      readonly message: ConsensusMessage;
    })
  /** The write with this number and all earlier ones are synced. */
  | (Timed & { readonly type: 'persisted'; readonly write: number })
  | (Timed & { readonly type: 'proposed'; readonly proposals: readonly Proposal[] })
  | (Timed & { readonly type: 'readRequested'; readonly readId: number })
  | (Timed & {
      readonly type: 'membershipRequested';
      readonly requestId: number;
      readonly change: MembershipChange;
    })
  /** This host is about to stop and should transfer its leadership to another one. */
  | (Timed & { readonly type: 'resignRequested' })
  /** A snapshot of the state machine after it applied the entry at `index`. */
  | (Timed & { readonly type: 'snapshotTaken'; readonly index: number; readonly data: string });

/** A change to the data folder. */
export type DiskChange =
  | { readonly type: 'promise'; readonly promisedTo: StorageId }
  | { readonly type: 'hardState'; readonly hardState: HardState }
  /** Truncate the log after `keepThrough`, then append these entries. */
  | {
      readonly type: 'append';
      readonly keepThrough: number;
      readonly entries: readonly LogEntry[];
    }
  /** The entries up to `compactThrough` are no longer needed; with `discardsLog`, no entry at all is. */
  | {
      readonly type: 'snapshot';
      readonly snapshot: Snapshot;
      readonly compactThrough: number;
      readonly discardsLog: boolean;
    };

/** A committed entry, and the proposal of this host that it fulfils, if any. */
export interface CommittedEntry {
  readonly entry: LogEntry;
  readonly proposalId: number | undefined;
}

export type ConsensusEffect =
  | { readonly type: 'send'; readonly to: NodeName; readonly message: ConsensusMessage }
  /** Writes go to disk in order. A `persisted` event acknowledges the last write of a batch, and so all before it. */
  | { readonly type: 'persist'; readonly write: number; readonly change: DiskChange }
  | { readonly type: 'apply'; readonly entries: readonly CommittedEntry[] }
  | { readonly type: 'restore'; readonly snapshot: Snapshot }
  | {
      readonly type: 'proposalFailed';
      readonly proposalId: number;
      readonly failure: Failure;
    }
  | { readonly type: 'readConfirmed'; readonly readId: number; readonly index: number }
  | { readonly type: 'readFailed'; readonly readId: number; readonly failure: Failure }
  | {
      readonly type: 'membershipAnswered';
      readonly requestId: number;
      readonly failure: Failure | undefined;
    }
  | { readonly type: 'leadershipChanged'; readonly view: LeadershipView };

/** Contents of the data folder when the process started. */
export interface StoredState {
  readonly storageId: StorageId;
  /** Storage id of the coordinator whose cluster formation this data folder has promised to join. */
  readonly promisedTo: StorageId | undefined;
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  readonly entries: readonly LogEntry[];
}
