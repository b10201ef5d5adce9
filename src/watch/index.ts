export { ControlWatcher, type ControlWatcherOptions } from './control-watcher.js';
export { ReconnectPacing } from './reconnect-pacing.js';
export { WatchedStateKeeper, type WatchEvent, type WatchVerdict } from './watched-state-keeper.js';
