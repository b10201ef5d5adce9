export { ControlWatcher, type ControlWatcherOptions } from './control-watcher.js';
export { decodeRoutingEvents } from './decode-routing-event.js';
export { ReconnectPacing } from './reconnect-pacing.js';
export { WatchedStateKeeper, type WatchEvent, type WatchVerdict } from './watched-state-keeper.js';
export {
  emptyRoutingView,
  RoutingStateTracker,
  type RoutingEvent,
  type RoutingView,
} from './routing-state-tracker.js';
export { RoutingWatcher, type RoutingWatcherOptions } from './routing-watcher.js';
