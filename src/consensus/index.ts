export {
  ConsensusNode,
  type ConsensusNodeOptions,
  type ConsensusObserver,
  type ConsensusStatus,
} from './consensus-node.js';
export {
  createConsensusNode,
  defaultSnapshotInterval,
  type CreateConsensusNodeOptions,
} from './create-consensus-node.js';
export type { Member, Membership, MembershipChange } from './core/index.js';
export type { LeadershipView, ReplicatedLog, StateMachine } from './replicated-log.js';
export {
  StreamTransport,
  type ConsensusPeer,
  type StreamTransportOptions,
} from './stream-transport.js';
export type { ConsensusTransport } from './transport.js';
