import type { Milliseconds } from '../common/index.js';
import type { GroupPlacement } from '../control/state/index.js';
import type {
  Configuration,
  DeclarationName,
  Group,
  GroupHealth,
  GroupName,
  HostFacts,
} from '../model/index.js';

/** Availability of a host as known to control. */
export type HostAvailability =
  | { readonly type: 'present' }
  /** Not reporting, or reporting without a working upstream; expected back after `expectedReturn`. */
  | { readonly type: 'suspected'; readonly expectedReturn: Milliseconds }
  | { readonly type: 'gone' }
  /**
   * Present, but unstable or lagging: not added to a group until `expectedReturn` has passed.
   * A group that already contains the host may keep it.
   */
  | { readonly type: 'quarantined'; readonly expectedReturn: Milliseconds };

/** A host as input to placement. */
export interface PlacementHost {
  /** Labels and drain state are those that operators have set in control, not those that the host announced. */
  readonly facts: HostFacts;
  readonly availability: HostAvailability;
}

/** A placed group as input to placement. */
export interface PlacedGroup {
  readonly group: Group;
  /** The lead's latest health report for this placement; undefined before the first. */
  readonly health: GroupHealth | undefined;
  /** How long the lead has reported members of this placement as missing; 0 if none is missing. */
  readonly incompleteFor: Milliseconds;
}

/** Estimated durations and rates that decisions are based on; measured by control at run time. */
export interface PlacementEstimates {
  /** Time a host takes to load an artifact. */
  readonly loadDuration: Milliseconds;
  /** Time from a new placement until the group is whole, if all its hosts have loaded. */
  readonly handover: Milliseconds;
  /** Share of time during which a host is unusable. */
  readonly hostUnavailability: number;
}

/** Everything that a placement decision depends on. */
export interface PlacementInput {
  readonly configuration: Configuration;
  readonly hosts: readonly PlacementHost[];
  readonly groups: readonly PlacedGroup[];
  readonly estimates: PlacementEstimates;
  /** Whether control suspects that it is isolated from the network itself; broken groups are then left unchanged. */
  readonly isIsolationSuspected: boolean;
}

/** Use of the weight store's limit on concurrent loads. */
export interface LoadBudget {
  readonly limit: number;
  /** Loads of placed hosts that were unfinished when the decision was made. */
  readonly running: number;
  /** Loads that this decision starts. */
  readonly started: number;
}

/** Reason for an action taken or not taken, for logs and `get groups`. */
export type PlacementNote =
  /** `renewed`: same hosts, with current addresses and incarnations. */
  | { readonly type: 'formed' | 'repaired' | 'merged' | 'renewed'; readonly group: GroupName }
  | { readonly type: 'draining' | 'dissolved'; readonly group: GroupName }
  /** A lost member is expected back before a replacement would serve. */
  | { readonly type: 'waitingForReturn'; readonly group: GroupName }
  | { readonly type: 'noSpare'; readonly group: GroupName }
  | { readonly type: 'loadBudgetSpent'; readonly declaration: DeclarationName }
  | { readonly type: 'heldBackAsSpares'; readonly declaration: DeclarationName };

/** Result of a placement decision: the content of a `placeGroups` command, and the reasons. */
export interface PlacementDecision {
  readonly place: readonly GroupPlacement[];
  readonly dissolve: readonly GroupName[];
  readonly loads: LoadBudget;
  readonly notes: readonly PlacementNote[];
}
