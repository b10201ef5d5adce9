export { formatArtifact, isArtifactCovered, isSameArtifact, type Artifact } from './artifact.js';
export {
  formatAttemptName,
  type AttemptName,
  type AttemptOrder,
  type AttemptRefusal,
  type AttemptState,
} from './attempt.js';
export type {
  Account,
  AccountLimits,
  Configuration,
  GroupDeclaration,
  Objective,
  Policy,
  AccessPolicy,
  ServiceDeclaration,
} from './configuration.js';
export {
  findLead,
  type Group,
  type GroupHealth,
  type GroupMember,
  type Load,
  type Offer,
} from './group.js';
export type { EngineUpstream, HostFacts, ServiceUpstream, Upstream } from './host.js';
export type {
  AccountName,
  Address,
  ChangeId,
  DeclarationName,
  FencingNumber,
  GroupName,
  HostName,
  Incarnation,
  RequestId,
  Revision,
  ServiceName,
} from './identifiers.js';
export { isSelected, type Labels, type Selector } from './label.js';
export type { WatchedGroup, WatchedState, WatchedStateSource } from './watched-state.js';
