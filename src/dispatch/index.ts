export { AccountShares } from './account-shares.js';
export { AccountWork } from './account-work.js';
export { FairQueue, type FairRequest, type QueuedRequest } from './fair-queue.js';
export { NewestFirstQueue } from './newest-first-queue.js';
export type { DropReason, DroppedEntry, QueueEntry, RequestQueue } from './request-queue.js';
export { ReturnSchedule } from './return-schedule.js';
export { StartTimes } from './start-times.js';
export { UrgencyQueue, type UrgencyQueueOptions } from './urgency-queue.js';
