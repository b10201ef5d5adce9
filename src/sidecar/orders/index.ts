export { OrderController, type OrderEffect, type OrderEvent } from './order-controller.js';
export {
  defaultOrderOptions,
  describePlacement,
  type EngineOrder,
  type EngineOrderAction,
  type EngineRole,
  type OrderedPlacement,
  type OrderOptions,
} from './orders.js';
