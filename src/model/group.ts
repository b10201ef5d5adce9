import type { Artifact } from './artifact.js';
import type {
  Address,
  DeclarationName,
  FencingNumber,
  GroupName,
  HostName,
  Incarnation,
  ServiceName,
} from './identifiers.js';

/** What a group offers to callers. */
export type Offer =
  | { readonly type: 'model'; readonly artifact: Artifact }
  | { readonly type: 'service'; readonly service: ServiceName };

/** A member of a placed group. */
export interface GroupMember {
  readonly host: HostName;
  readonly address: Address;
  /** Incarnation of the sidecar at the time of placement; a restarted member needs a new placement or a new lease. */
  readonly incarnation: Incarnation;
}

/** A placed replica: the hosts that serve together, and the fencing number of the placement. */
export interface Group {
  readonly name: GroupName;
  readonly declaration: DeclarationName;
  readonly fencingNumber: FencingNumber;
  /** The first member is the lead: its sidecar admits attempts and its engine receives them. */
  readonly members: readonly GroupMember[];
  readonly offer: Offer;
  /** Set by placement when the group is to finish its attempts and then be removed. */
  readonly isDraining: boolean;
}

/** The member whose sidecar admits attempts. */
export function findLead(group: Group): GroupMember {
  const lead = group.members[0];
  if (lead === undefined) {
    throw new Error(`group ${group.name} has no members`);
  }
  return lead;
}

/** Health of a group, as reported by its lead. */
export interface GroupHealth {
  readonly group: GroupName;
  readonly fencingNumber: FencingNumber;
  /** Whether every lease is held and every engine has loaded the artifact. */
  readonly isServing: boolean;
  /** Whether draining is complete, so that no attempt is left. */
  readonly isDrained: boolean;
  /** Members whose lease the lead does not hold. */
  readonly missing: readonly HostName[];
}

/** Load of an upstream, as last observed by the sidecar that admits its attempts. */
export interface Load {
  readonly running: number;
  readonly queued: number;
  readonly capacity: number;
}
