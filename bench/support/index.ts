export { openBareProxy } from './bare-proxy.js';
export { generateLoad, type LoadOptions, type LoadResult } from './load-generator.js';
export { formatFigure, formatMarkdownTable, reportProgress } from './markdown-table.js';
export { readProcessUsage, sumProcessUsage, type ProcessUsage } from './process-usage.js';
export { announceReady, findRole, startRole, type RoleProcess } from './roles.js';
