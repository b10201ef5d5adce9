export {
  findBurst,
  findOwnRate,
  findSharedRate,
  ownShareDelay,
  rateLifetime,
  shareReservation,
  type ColdAcknowledgement,
  type ColdAnswer,
  type ColdDemand,
  type ColdLimit,
  type ColdReport,
} from './cold-limits.js';
export { ColdRecords, type ColdNotice } from './cold-records.js';
export type { ColdBounds } from './cold-requests.js';
export { MemoryBudget, type HeldMemory, type MemoryRelief } from './memory-budget.js';
export { RequestPermits, type GrantedPermits, type PermitReport } from './request-permits.js';
