export { SidecarProcess, type SidecarProcessOptions } from './shell/sidecar-process.js';
export {
  createEngineSidecarParts,
  EngineController,
  type EngineEvent,
  type EngineOrder,
  type EnginePort,
  type EngineSidecarOptions,
  type EngineStatus,
  type OrderOutcome,
} from './engine/index.js';
