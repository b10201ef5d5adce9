import type { Milliseconds } from '../common/index.js';
import type {
  EngineFacts,
  EngineGroup,
  EngineMember,
  EnginePhase,
  EngineReading,
  InstanceSet,
  RoutedService,
} from '../routing/index.js';

/** What the planning of engine groups is decided from, and what it decides. */

/** An engine as the leader last heard of it. */
export interface EngineView {
  readonly host: string;
  readonly facts: EngineFacts;
  /** Time since the sidecar beside it was heard. */
  readonly silence: Milliseconds;
}

/** A placed group and how long it has been in its phase, as far as this leader knows. */
export interface GroupView {
  readonly group: EngineGroup;
  readonly phaseAge: Milliseconds;
}

/** All that a decision is made from. */
export interface PlannerInput {
  readonly services: readonly RoutedService[];
  readonly groups: readonly GroupView[];
  readonly engines: ReadonlyMap<string, EngineView>;
  /** Instances that said that they are leaving. */
  readonly leaving: InstanceSet;
  /** Whether a group has served a request: from then on loads are slow, and limited. */
  readonly hasTraffic: boolean;
  /** Whether engines are still coming up for the first time: what is placed now would be placed from a part of them. */
  readonly isSettling: boolean;
  /** Loads from the weight store that may begin now. */
  readonly loadsAllowed: number;
  /** Models that hosts were ordered to stage and do not stage yet. */
  readonly pendingStaging: ReadonlyMap<string, string>;
  /** Requests that want to run at one moment, by model; empty until all gateways have reported what they measured. */
  readonly demand: ReadonlyMap<string, number>;
  /** First number for the names of new groups. */
  readonly nextNumber: number;
}

/** A group to place. */
export type NewEngineGroup = Omit<EngineGroup, 'fencingNumber' | 'phase'>;

/** A phase that a group enters. */
export interface GroupAdvance {
  readonly name: string;
  readonly phase: EnginePhase;
  /** Why, for logs. */
  readonly reason: string;
}

/** A group that is dissolved; its engines are free again. */
export interface GroupRemoval {
  readonly name: string;
  readonly reason: string;
}

/** Model that a host is to stage. */
export interface StagingOrder {
  readonly host: string;
  readonly model: string;
}

/** What to do now. */
export interface EngineDecision {
  readonly place: readonly NewEngineGroup[];
  readonly advance: readonly GroupAdvance[];
  readonly remove: readonly GroupRemoval[];
  readonly stage: readonly StagingOrder[];
}

/** An engine that answers and may become a member. */
export interface AnsweringEngine {
  readonly member: EngineMember;
  readonly service: string;
  readonly reading: EngineReading;
  readonly lastModel: string | undefined;
}
