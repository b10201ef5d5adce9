export { describeDifferences, summarizeDifferences } from './diff.js';
export { configurationSchema, emptyConfiguration } from './schema.js';
