export { configurationSchema, emptyConfiguration } from './schema.js';
