export { findFirstNumber } from './event-fields.js';
export type { EventFault, EventFormat } from './event-format.js';
export { EventReader, type ReadEvents } from './event-reader.js';
