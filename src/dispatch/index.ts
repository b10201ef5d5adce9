export { NewestFirstQueue } from './newest-first-queue.js';
export type { DropReason, DroppedEntry, QueueEntry, RequestQueue } from './request-queue.js';
export { UrgencyQueue, type UrgencyQueueOptions } from './urgency-queue.js';
