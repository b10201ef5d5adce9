import type { Milliseconds } from '../../common/index.js';
import {
  isArtifactCovered,
  isSameArtifact,
  type Artifact,
  type EngineUpstream,
  type FencingNumber,
  type Group,
  type GroupName,
  type HostName,
} from '../../model/index.js';

/** Orders to the sidecar's local engine. */

/** The engine's role in a replica; the engine of the first member receives the requests. */
export interface EngineRole {
  readonly group: GroupName;
  readonly rank: number;
  readonly size: number;
}

/** The action that the engine is to carry out. */
export type EngineOrderAction =
  | { readonly type: 'loadModel'; readonly artifact: Artifact }
  | { readonly type: 'loadAdapters'; readonly artifact: Artifact }
  | { readonly type: 'changeVersion'; readonly artifact: Artifact }
  | { readonly type: 'unload'; readonly artifact: Artifact }
  | { readonly type: 'changeRole'; readonly role: EngineRole };

/** An action with the numbers that distinguish it from older and newer orders. */
export interface EngineOrder {
  /** Increases with each order since this sidecar started. */
  readonly sequence: number;
  readonly fencingNumber: FencingNumber;
  readonly action: EngineOrderAction;
}

/** The state that a placement requires of this host's engine. */
export interface DesiredPlacement {
  readonly group: GroupName;
  readonly fencingNumber: FencingNumber;
  readonly artifact: Artifact;
  readonly role: EngineRole;
}

/** Derives the state required of one member's engine; undefined for a plain service or a host that is not a member. */
export function buildDesiredPlacement(group: Group, host: HostName): DesiredPlacement | undefined {
  const rank = group.members.findIndex((member) => member.host === host);
  if (rank < 0 || group.offer.type !== 'model') {
    return undefined;
  }
  const { name, fencingNumber, offer, members } = group;
  const role: EngineRole = { group: name, rank, size: members.length };
  return { group: name, fencingNumber, artifact: offer.artifact, role };
}

/** The next action towards having the wanted artifact loaded; undefined once it is loaded. */
export function chooseNextLoadAction(
  wanted: Artifact,
  engine: EngineUpstream,
  capacity: number,
): EngineOrderAction | undefined {
  const { loaded } = engine;
  if (isArtifactCovered(wanted, loaded)) {
    return undefined;
  }
  const related = loaded.find((candidate) => candidate.model === wanted.model);
  if (related !== undefined) {
    const isSameVersion = related.version === wanted.version;
    return { type: isSameVersion ? 'loadAdapters' : 'changeVersion', artifact: wanted };
  }
  const [oldest] = loaded;
  if (oldest !== undefined && loaded.length >= capacity && !isSameArtifact(oldest, wanted)) {
    return { type: 'unload', artifact: oldest };
  }
  return { type: 'loadModel', artifact: wanted };
}

/** Limits and timeouts for the orders to one engine. */
export interface OrderOptions {
  /** Number of models that the engine can keep loaded at once. */
  readonly capacity: number;
  /** An order fails if it is not answered within `answerTimeout`, or if its effect does not show within `loadTimeout` after that. */
  readonly answerTimeout: Milliseconds;
  readonly loadTimeout: Milliseconds;
  readonly initialBackOff: Milliseconds;
  readonly maxBackOff: Milliseconds;
  /** After this many consecutive failures the host reports its upstream as unhealthy. */
  readonly failuresUntilUnfit: number;
}

const second = 1000;

export const defaultOrderOptions: OrderOptions = {
  capacity: 1,
  answerTimeout: 5 * second,
  loadTimeout: 600 * second,
  initialBackOff: second,
  maxBackOff: 60 * second,
  failuresUntilUnfit: 3,
};
