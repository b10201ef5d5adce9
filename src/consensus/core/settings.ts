import type { Milliseconds, RandomSource } from '../../common/index.js';
import type { NodeName } from './membership.js';

/** Timeouts and size limits of the core. */
export interface CoreTuning {
  /** Longest time between two messages of a leader to a follower. */
  readonly heartbeat: Milliseconds;
  /** Bounds of the election timeout; each timeout is drawn at random between the two. */
  readonly electionTimeoutMinimum: Milliseconds;
  readonly electionTimeoutMaximum: Milliseconds;
  /** Factor on the election timeout of a host that has heard no leader since it started; 1 for the full timeout. */
  readonly firstElectionTimeoutFraction: number;
  /** Limits of the entries in one message. */
  readonly batchEntries: number;
  readonly batchCharacters: number;
  /** Limits of the entries that may be sent to a follower before it acknowledges them. */
  readonly windowEntries: number;
  readonly windowCharacters: number;
  /** Size of the commands that are applied before the next snapshot is due. */
  readonly snapshotCharacters: number;
  readonly snapshotChunkCharacters: number;
  /** Limits of the entries kept before a snapshot, so that followers slightly behind need no snapshot. */
  readonly retainedEntries: number;
  readonly retainedCharacters: number;
  /** Limit of uncommitted proposals; further ones are refused at once. */
  readonly pendingProposals: number;
}

/**
 * The shortest election timeout spans four heartbeats, so that a lost message does not start an election.
 * With these values an idle leader sends and receives about 2 KB/s, and a failed leader is replaced within about two
 * seconds.
 */
export const defaultTuning: CoreTuning = {
  heartbeat: 250,
  electionTimeoutMinimum: 1000,
  electionTimeoutMaximum: 2000,
  firstElectionTimeoutFraction: 1,
  batchEntries: 256,
  batchCharacters: 256 * 1024,
  windowEntries: 2048,
  windowCharacters: 4 * 1024 * 1024,
  snapshotCharacters: 4 * 1024 * 1024,
  snapshotChunkCharacters: 256 * 1024,
  retainedEntries: 1000,
  retainedCharacters: 4 * 1024 * 1024,
  pendingProposals: 4096,
};

/** Inputs of a core besides the contents of its data folder. */
export interface CoreSettings {
  readonly name: NodeName;
  /** The other control hosts. */
  readonly peers: readonly NodeName[];
  readonly tuning: CoreTuning;
  readonly random: RandomSource;
}
