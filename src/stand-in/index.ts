export { StandInEngine, type StandInEngineOptions } from './engine.js';
export { StandInService, type StandInServiceOptions } from './service.js';
