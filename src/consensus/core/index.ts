export { ConsensusCore } from './core.js';
export {
  countCharacters,
  hardStateSchema,
  logEntrySchema,
  snapshotSchema,
  type HardState,
  type LogEntry,
  type Snapshot,
} from './entry.js';
export type {
  CommittedEntry,
  ConsensusEffect,
  ConsensusEvent,
  DiskChange,
  MembershipChange,
  Proposal,
  StoredState,
} from './events.js';
export type { Member, Membership, NodeName, StorageId } from './membership.js';
export { formatMessage, parseMessage, type ConsensusMessage } from './messages.js';
export { defaultTuning, type CoreSettings, type CoreTuning } from './settings.js';
