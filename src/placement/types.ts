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

/** What control knows of whether a host is there. */
export type HostAvailability =
  | { readonly type: 'present' }
  /** Silent, or there without a working upstream; may be back after the time expected. */
  | { readonly type: 'suspected'; readonly expectedReturn: Milliseconds }
  | { readonly type: 'gone' }
  /**
   * There, but held back because it comes and goes or lags behind: not taken into a group until the time expected.
   * A group it already belongs to may go on with it.
   */
  | { readonly type: 'quarantined'; readonly expectedReturn: Milliseconds };

/** A host as placement sees it. */
export interface PlacementHost {
  /** Labels and drain as operators have set them in control, not as the host announced them. */
  readonly facts: HostFacts;
  readonly availability: HostAvailability;
}

/** A placed group as placement sees it. */
export interface PlacedGroup {
  readonly group: Group;
  /** The lead's last word of this placement; undefined before the first. */
  readonly health: GroupHealth | undefined;
  /** How long the lead has been missing members of this placement; 0 while it misses none. */
  readonly incompleteFor: Milliseconds;
}

/** Durations and rates that decisions weigh; measured by control while it runs. */
export interface PlacementEstimates {
  /** Time in which a host loads an artifact. */
  readonly loadDuration: Milliseconds;
  /** Time from a new placement to a whole group when all is loaded. */
  readonly handover: Milliseconds;
  /** Share of time in which a host is not usable. */
  readonly hostUnavailability: number;
}

/** All that a decision depends on. */
export interface PlacementInput {
  readonly configuration: Configuration;
  readonly hosts: readonly PlacementHost[];
  readonly groups: readonly PlacedGroup[];
  readonly estimates: PlacementEstimates;
  /** Control suspects itself of being cut off: hosts that seem lost are not acted upon. */
  readonly isWatcherSuspected: boolean;
}

/** Loads of weights against what the weight store takes at once. */
export interface LoadBudget {
  readonly limit: number;
  /** Loads that placed hosts had not ended when the decision was made. */
  readonly running: number;
  /** Loads that this decision starts. */
  readonly started: number;
}

/** Why something was done or left, for logs and `get groups`. */
export type PlacementNote =
  /** `renewed`: the same hosts, named as they are now. */
  | { readonly type: 'formed' | 'repaired' | 'merged' | 'renewed'; readonly group: GroupName }
  | { readonly type: 'draining' | 'dissolved'; readonly group: GroupName }
  /** A lost member is expected back sooner than a replacement would serve. */
  | { readonly type: 'waitingForReturn'; readonly group: GroupName }
  | { readonly type: 'noSpare'; readonly group: GroupName }
  | { readonly type: 'loadBudgetSpent'; readonly declaration: DeclarationName }
  | { readonly type: 'heldBackAsSpares'; readonly declaration: DeclarationName };

/** What placement wants; the shape of the `placeGroups` command and the reasons. */
export interface PlacementDecision {
  readonly place: readonly GroupPlacement[];
  readonly dissolve: readonly GroupName[];
  readonly loads: LoadBudget;
  readonly notes: readonly PlacementNote[];
}
