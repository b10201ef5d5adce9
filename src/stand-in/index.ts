export { StandInEngine, type StandInEngineOptions } from './engine.js';
export { callsPath, StandInService, type StandInServiceOptions } from './service.js';
