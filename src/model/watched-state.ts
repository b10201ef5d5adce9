import type { Configuration } from './configuration.js';
import type { Group } from './group.js';
import type { GroupName, Revision } from './identifiers.js';

/** A group as watchers see it. */
export interface WatchedGroup {
  readonly group: Group;
  /** The last state that the lead reported through control. It may be outdated, so a direct answer of the lead takes precedence. */
  readonly isServing: boolean;
}

/** The state of control that a gateway or a sidecar received through its watch. */
export interface WatchedState {
  readonly revision: Revision;
  readonly configuration: Configuration;
  readonly groups: ReadonlyMap<GroupName, WatchedGroup>;
  /** False until the first complete state has arrived. */
  readonly isSynchronized: boolean;
}

/** Provides the latest watched state and notifies about changes; implemented by the watch client. */
export interface WatchedStateSource {
  readonly read: () => WatchedState;
  /** Calls the listener after each change; the returned function ends the subscription. */
  readonly subscribe: (listener: (state: WatchedState) => void) => () => void;
  /** Reports a revision seen elsewhere, such as in a refused attempt; a newer revision is fetched at once. */
  readonly noticeRevision: (revision: Revision) => void;
}
