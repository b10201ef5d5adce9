export { openBareProxy } from './bare-proxy.js';
export { generateLoad, type LoadOptions, type LoadResult } from './load-generator.js';
export { formatFigure, formatMarkdownTable, reportProgress } from './markdown-table.js';
export { readProcessUsage, sumProcessUsage, type ProcessUsage } from './process-usage.js';
export {
  announceReady,
  askUsage,
  findRole,
  startRole,
  type RoleAnswerer,
  type RoleProcess,
  type RoleUsage,
} from './roles.js';
export { fitSlope, type SlopePoint } from './slope.js';
