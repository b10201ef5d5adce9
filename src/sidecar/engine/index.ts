export { DriverMetrics } from './driver-metrics.js';
export { EngineController, type EngineEvent } from './engine-controller.js';
export { EngineDriver, type EngineDriverOptions } from './engine-driver.js';
export type {
  EngineStatusResult,
  EngineOrder,
  EnginePort,
  EngineStatus,
  OrderOutcome,
} from './engine-port.js';
export { EngineReporter, type EngineReporterOptions } from './engine-reporter.js';
export {
  createEngineSidecar,
  type EngineSidecar,
  type EngineSidecarOptions,
} from './engine-sidecar.js';
