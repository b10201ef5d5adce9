export { ControlWatcher, type ControlWatcherOptions } from './control-watcher.js';
export { decodeRoutingEvents } from './decode-routing-event.js';
export { ReconnectBackoff } from './reconnect-backoff.js';
export {
  WatchedStateTracker,
  type WatchEvent,
  type WatchVerdict,
} from './watched-state-tracker.js';
export {
  emptyRoutingView,
  RoutingStateTracker,
  type RoutingEvent,
  type RoutingView,
} from './routing-state-tracker.js';
export { RoutingWatcher, type RoutingWatcherOptions } from './routing-watcher.js';
