import { Blackboard } from '../../common/index.js';
import type { WatchedState } from '../../model/index.js';
import type { UpstreamState } from '../upstream/index.js';

/** State shared by the controllers of a sidecar. Each section is written by a single owner. */

/** Progress of a graceful shutdown. */
export type StopState =
  | { readonly type: 'working' }
  /** No new attempts are admitted; those in flight continue. */
  | { readonly type: 'draining' }
  /** No lead holds a lease on this host any more. */
  | { readonly type: 'leaving' };

/** The sections of a sidecar's blackboard. */
export interface SidecarSections {
  /** Written when the watch delivers a change. */
  readonly watched: WatchedState;
  /** Written with each announcement, and at each tick to detect missing announcements. */
  readonly upstream: UpstreamState;
  /** Written by the graceful shutdown. */
  readonly stop: StopState;
}

/** Creates the blackboard with the initial state of a sidecar. */
export function createSidecarBoard(watched: WatchedState): Blackboard<SidecarSections> {
  return new Blackboard<SidecarSections>({
    watched,
    upstream: { type: 'absent' },
    stop: { type: 'working' },
  });
}
