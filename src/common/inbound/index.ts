export { BodyStorage, type ReserveMemory } from './body-storage.js';
export { discardBody } from './discard-body.js';
export { endAfterBody } from './end-after-body.js';
export { guardServer } from './guard-server.js';
export { InboundMemory, memoryRetryAfter, type InboundHold } from './inbound-memory.js';
export { estimateJsonMemory, measureJson, type JsonSize } from './json-memory.js';
export { isBodyUnread } from './unread-body.js';
export { receiveBody, type ReceivedBody, type ReceiveOptions } from './receive-body.js';
