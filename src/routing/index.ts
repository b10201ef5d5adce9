export { checkRoutingDocument } from './check.js';
export { listColdProfiles, listReturned } from './cold-starts.js';
export { listIdentities } from './identities.js';
export {
  announcementSchema,
  departedInstanceSchema,
  formatIdentity,
  identityOf,
  InstanceSet,
  instanceSchema,
  isSameInstance,
  isSameStart,
  storedIdentitySchema,
  type Announcement,
  type DepartedInstance,
  type DepartureReason,
  type Instance,
  type InstanceIdentity,
} from './instances.js';
export {
  packDocument,
  unpackBody,
  unpackDocument,
  type PackedDocument,
} from './packed-document.js';
export { chooseService, RouteTable } from './route-table.js';
export {
  formatSegmentSubject,
  parseSubject,
  type CrashSubject,
  type CrashSubjectKey,
} from './crash-subjects.js';
export { findBlamed, isQuarantined, listQuarantined } from './quarantine.js';
export {
  crashSuspectSchema,
  quarantineThreshold,
  type CrashSuspect,
  type Trial,
} from './suspects.js';
export {
  findTrialTime,
  hasTrial,
  selectTrials,
  trialDelays,
  type TrialCandidate,
} from './trials.js';
export { lowestPermitRate, UpstreamLimits, type UpstreamLimit } from './upstream-limits.js';
export {
  engineFactsSchema,
  engineGroupSchema,
  enginePhases,
  engineReadingSchema,
  evacuationSchema,
  routingDocumentSchema,
  type CallerBounds,
  type ColdProfile,
  type DomainDelay,
  type EngineAbsence,
  type EngineFacts,
  type EngineGroup,
  type EngineMember,
  type EngineMembership,
  type EngineModel,
  type EnginePhase,
  type EngineProfile,
  type EngineReading,
  type Evacuation,
  type Route,
  type RoutedAccount,
  type RoutedService,
  type RoutingDocument,
} from './schema.js';
