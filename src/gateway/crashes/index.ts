export {
  CrashLedger,
  type CrashAssessment,
  type PendingCrashes,
  type UpstreamCrash,
} from './crash-ledger.js';
export { CrashReporter, createCrashReporter, type CrashReporterOptions } from './crash-reporter.js';
export { RequestCrashes } from './request-crashes.js';
export type { TrialDecisions, TrialRequest } from './trial-grants.js';
