import type { Configuration } from './configuration.js';
import type { Group } from './group.js';
import type { GroupName, Revision } from './identifiers.js';

/** A group as watchers see it. */
export interface WatchedGroup {
  readonly group: Group;
  /** What the lead last said through control; may be old, so the lead's own answer goes before it. */
  readonly isServing: boolean;
}

/** What a gateway or a sidecar knows from its watch of control. */
export interface WatchedState {
  readonly revision: Revision;
  readonly configuration: Configuration;
  readonly groups: ReadonlyMap<GroupName, WatchedGroup>;
  /** False until the first whole state came. */
  readonly isSynchronized: boolean;
}

/** Reads the newest watched state and tells of changes; implemented by the watch client. */
export interface WatchedStateSource {
  readonly read: () => WatchedState;
  /** Calls back after each change; the answer ends the subscription. */
  readonly subscribe: (listener: (state: WatchedState) => void) => () => void;
  /** Told of a revision seen elsewhere (a refused attempt): a newer one is fetched at once. */
  readonly noticeRevision: (revision: Revision) => void;
}
