export { SidecarProcess, type SidecarProcessOptions } from './shell/sidecar-process.js';
export {
  createEngineSidecar,
  DriverMetrics,
  EngineController,
  EngineDriver,
  type EngineEvent,
  type EngineOrder,
  type EngineStatusResult,
  type EnginePort,
  type EngineSidecar,
  type EngineSidecarOptions,
  type EngineStatus,
  type OrderOutcome,
} from './engine/index.js';
