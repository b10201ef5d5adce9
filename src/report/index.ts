export {
  createBurnReport,
  isBurning,
  type BurnReport,
  type BurnReportInput,
  type IndicatorBurn,
  type TargetBurn,
} from './burn-report.js';
export { burnAlertRules, burnWindows } from './burn-windows.js';
export {
  maximumTargets,
  parseGatewayAnswer,
  serviceLevelCountersSchema,
  type GatewayAnswer,
  type ServiceLevelCounters,
  type ServiceLevelOutcome,
} from './counters.js';
export { formatBurnPage } from './format-html.js';
export { formatBurnJson, formatBurnTable } from './format-text.js';
export { ServiceLevelRecorder } from './recorder.js';
