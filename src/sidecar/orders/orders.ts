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

/** Orders to the engine beside a sidecar. */

/** The engine's part in a replica: the first member's takes the requests. */
export interface EngineRole {
  readonly group: GroupName;
  readonly rank: number;
  readonly size: number;
}

/** What the engine is to do. */
export type EngineOrderAction =
  | { readonly type: 'loadModel'; readonly artifact: Artifact }
  | { readonly type: 'loadAdapters'; readonly artifact: Artifact }
  | { readonly type: 'changeVersion'; readonly artifact: Artifact }
  | { readonly type: 'unload'; readonly artifact: Artifact }
  | { readonly type: 'changeRole'; readonly role: EngineRole };

/** An order with what tells it from older and later ones. */
export interface EngineOrder {
  /** Grows with each order of this sidecar's start. */
  readonly sequence: number;
  readonly fencingNumber: FencingNumber;
  readonly action: EngineOrderAction;
}

/** What a placement asks of this host's engine. */
export interface OrderedPlacement {
  readonly group: GroupName;
  readonly fencingNumber: FencingNumber;
  readonly artifact: Artifact;
  readonly role: EngineRole;
}

/** What a placement asks of the engine of one member; undefined for a plain service or a host outside of the group. */
export function describePlacement(group: Group, host: HostName): OrderedPlacement | undefined {
  const rank = group.members.findIndex((member) => member.host === host);
  if (rank < 0 || group.offer.type !== 'model') {
    return undefined;
  }
  const { name, fencingNumber, offer, members } = group;
  const role: EngineRole = { group: name, rank, size: members.length };
  return { group: name, fencingNumber, artifact: offer.artifact, role };
}

/** The next order on the way from what is loaded to what is wanted; undefined once all is loaded. */
export function chooseLoad(
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

/** Times and sizes of the orders to one engine. */
export interface OrderOptions {
  /** Artifacts of different models that the engine keeps loaded at once. */
  readonly capacity: number;
  /** An order without an answer, or without its effect, for so long has failed. */
  readonly answerTimeout: Milliseconds;
  readonly loadTimeout: Milliseconds;
  readonly firstBackOff: Milliseconds;
  readonly longestBackOff: Milliseconds;
  /** After so many failures in a row the host says that its upstream is not well. */
  readonly failuresUntilUnfit: number;
}

const second = 1000;

export const defaultOrderOptions: OrderOptions = {
  capacity: 1,
  answerTimeout: 5 * second,
  loadTimeout: 600 * second,
  firstBackOff: second,
  longestBackOff: 60 * second,
  failuresUntilUnfit: 3,
};
