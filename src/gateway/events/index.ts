export { findFirstNumber } from './event-fields.js';
export { maximumEventBytes, type EventFault, type EventFormat } from './event-format.js';
export { EventReader, type ReadEvents } from './event-reader.js';
