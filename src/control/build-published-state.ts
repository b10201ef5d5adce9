import type { WatchedGroup } from '../model/index.js';
import type { HostDirectory } from './host-directory.js';
import type { ControlState } from './state/index.js';
import type { PublishedState } from './watch-hub.js';

/** Builds the state that watchers get from the replicated state and the reports of lead sidecars. */
export function buildPublishedState(state: ControlState, directory: HostDirectory): PublishedState {
  const { index, revision, configuration, groups } = state;
  const watched = [...groups.values()].map((group): [string, WatchedGroup] => {
    const isServing = directory.findHealth(group)?.isServing ?? false;
    return [group.name, { group, isServing }];
  });
  return { index, revision, configuration, groups: new Map(watched) };
}
