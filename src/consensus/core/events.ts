import type { Failure, Milliseconds } from '../../common/index.js';
import type { LeadershipView } from '../replicated-log.js';
import type { HardState, LogEntry, Snapshot } from './entry.js';
import type { Member, NodeName, StorageId } from './membership.js';
import type { ConsensusMessage } from './messages.js';

/** What happens to the core, and what it wants done. */

/** A command on its way into the log; the id is the shell's. */
export interface Proposal {
  readonly proposalId: number;
  readonly command: string;
}

/** A change of one member, asked for by an operator. */
export type MembershipChange =
  | { readonly type: 'admit'; readonly member: Member }
  | { readonly type: 'remove'; readonly name: NodeName };

interface Timed {
  /** Reading of a monotonic clock. */
  readonly now: Milliseconds;
}

export type ConsensusEvent =
  | (Timed & { readonly type: 'tick' })
  | (Timed & {
      readonly type: 'received';
      readonly from: NodeName;
      readonly message: ConsensusMessage;
    })
  /** A write and all before it are synced. */
  | (Timed & { readonly type: 'persisted'; readonly write: number })
  | (Timed & { readonly type: 'proposed'; readonly proposals: readonly Proposal[] })
  | (Timed & { readonly type: 'readRequested'; readonly readId: number })
  | (Timed & {
      readonly type: 'membershipRequested';
      readonly requestId: number;
      readonly change: MembershipChange;
    })
  /** This host is about to stop: hand the leadership to another one. */
  | (Timed & { readonly type: 'resignRequested' })
  /** The state machine's state after the entry at `index`, which was applied. */
  | (Timed & { readonly type: 'snapshotTaken'; readonly index: number; readonly data: string });

/** A change of the data folder. */
export type DiskChange =
  | { readonly type: 'promise'; readonly promisedTo: StorageId }
  | { readonly type: 'hardState'; readonly hardState: HardState }
  /** Drop the entries after `keepThrough`, then add these. */
  | {
      readonly type: 'append';
      readonly keepThrough: number;
      readonly entries: readonly LogEntry[];
    }
  /** The entries up to `compactThrough` are no longer needed; with `discardsLog`, none of the entries is. */
  | {
      readonly type: 'snapshot';
      readonly snapshot: Snapshot;
      readonly compactThrough: number;
      readonly discardsLog: boolean;
    };

/** A committed entry, and the proposal of this host that it answers. */
export interface CommittedEntry {
  readonly entry: LogEntry;
  readonly proposalId: number | undefined;
}

export type ConsensusEffect =
  | { readonly type: 'send'; readonly to: NodeName; readonly message: ConsensusMessage }
  /** Writes go to disk in order; `persisted` answers the last one of a batch. */
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

/** What a data folder held when the process started. */
export interface StoredState {
  readonly storageId: StorageId;
  /** Coordinator of the first start that this data folder promised to take part in. */
  readonly promisedTo: StorageId | undefined;
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  readonly entries: readonly LogEntry[];
}
