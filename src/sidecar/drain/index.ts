export { DrainController, type DrainEffect, type DrainEvent } from './drain-controller.js';
export type { DrainState } from './drain-machine.js';
