import type { Milliseconds } from '../common/index.js';
import type { HostDirectory } from './host-directory.js';
import type { WatcherView } from './state/index.js';
import type { WatcherDirectory } from './watcher-directory.js';

/** Lists all known watchers: gateways by the revisions they acknowledged, sidecars by their reports. */
export function listWatcherViews(
  watchers: WatcherDirectory,
  directory: HostDirectory,
  now: Milliseconds,
): readonly WatcherView[] {
  const gateways = watchers.list().map(({ state, heardAt }) => ({
    watcher: state.name,
    kind: state.kind,
    revision: state.revision,
    control: state.control,
    lastSeenMilliseconds: Math.round(now - heardAt),
    address: state.address,
  }));
  const sidecars = [...directory.read().values()].map((host) => ({
    watcher: host.facts.host,
    kind: 'sidecar',
    revision: host.configurationRevision,
    control: null,
    lastSeenMilliseconds: Math.round(now - host.lastHeard),
    address: null,
  }));
  return [...gateways, ...sidecars];
}
