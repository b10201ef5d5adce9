import {
  createIdentifier,
  type Clock,
  type Milliseconds,
  type RandomSource,
} from '../common/index.js';
import {
  DataFolder,
  defaultLogFileBytes,
  hostFileSystem,
  type StorageNotice,
} from '../storage/index.js';
import { ConsensusNode, type ConsensusObserver } from './consensus-node.js';
import { defaultTuning, type NodeName } from './core/index.js';
import type { StateMachine } from './replicated-log.js';
import { StreamTransport, type ConsensusPeer } from './stream-transport.js';

/** Applied entries between two snapshots. A restart replays at most this many, and they share the cost of a snapshot. */
export const defaultSnapshotInterval = 1000;

/**
 * Factor on the election timeout of a host that has heard no leader since it started. A message between control hosts
 * and a synced vote take about ten milliseconds, so two hosts rarely start an election at the same time even with the
 * shorter timeout.
 */
const firstElectionTimeoutFraction = 0.3;

/** Options of a control host's replicated log with a local disk and a network transport. */
export interface CreateConsensusNodeOptions<Answer> {
  readonly name: NodeName;
  /** The other control hosts. */
  readonly peers: readonly ConsensusPeer[];
  /** Looks up the address of a control host admitted later, which is not among the peers; undefined if unknown. */
  readonly findAddress?: ((name: NodeName) => string | undefined) | undefined;
  readonly dataFolder: string;
  readonly machine: StateMachine<Answer>;
  readonly heartbeat: Milliseconds;
  /** Shortest election timeout; the longest is twice as long. */
  readonly election: Milliseconds;
  readonly snapshotInterval: number;
  /** Longest wait for a commit; then the submitter is answered `changeUncertain`. */
  readonly commitTimeout: Milliseconds;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly observer: ConsensusObserver & { readonly notice: StorageNotice };
}

export function createConsensusNode<Answer>(
  options: CreateConsensusNodeOptions<Answer>,
): ConsensusNode<Answer> {
  const { name, peers, dataFolder, heartbeat, election, clock, random, observer } = options;
  const folder = new DataFolder({
    files: hostFileSystem,
    folder: dataFolder,
    name,
    createStorageId: createIdentifier,
    logFileBytes: defaultLogFileBytes,
    notice: observer.notice,
  });
  const transport = new StreamTransport({
    self: name,
    peers,
    findAddress: options.findAddress,
    connectionTimeout: election,
    clock,
    random,
  });
  return new ConsensusNode({
    ...options,
    peers: peers.map((peer) => peer.name),
    folder,
    transport,
    tuning: {
      ...defaultTuning,
      heartbeat,
      electionTimeoutMinimum: election,
      electionTimeoutMaximum: election * 2,
      firstElectionTimeoutFraction,
    },
  });
}
