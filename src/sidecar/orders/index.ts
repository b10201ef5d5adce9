export { OrderController, type OrderEffect, type OrderEvent } from './order-controller.js';
export {
  defaultOrderOptions,
  buildDesiredPlacement,
  type EngineOrder,
  type EngineOrderAction,
  type EngineRole,
  type DesiredPlacement,
  type OrderOptions,
} from './orders.js';
