export { SidecarProcess, type SidecarProcessOptions } from './shell/sidecar-process.js';
export {
  createEngineSidecar,
  EngineController,
  type EngineEvent,
  type EngineOrder,
  type EngineAnswer,
  type EnginePort,
  type EngineSidecar,
  type EngineSidecarOptions,
  type EngineStatus,
  type OrderOutcome,
} from './engine/index.js';
