export { crossCheck, type CrossCheckFinding } from './cross-checks.js';
export { describeDifferences, summarizeDifferences } from './diff.js';
export {
  checkConfiguration,
  parseConfiguration,
  type CheckedConfiguration,
  type ConfigurationProblem,
} from './parse.js';
export { configurationSchema, emptyConfiguration } from './schema.js';
