import type { Milliseconds } from '../common/index.js';
import type { EngineExchange, LossInput } from './model-losses.js';
import type {
  EngineFacts,
  EngineGroup,
  EngineMember,
  EnginePhase,
  EngineReading,
  InstanceSet,
  RoutedService,
} from '../routing/index.js';

/** Input and output of the planning of engine groups. */

/** What the leader knows about an engine from the last report of its sidecar. */
export interface EngineView {
  readonly host: string;
  readonly facts: EngineFacts;
  /** Time since the last report. */
  readonly reportAge: Milliseconds;
}

/** A placed group and how long it has been in its phase, as far as this leader knows. */
export interface GroupView {
  readonly group: EngineGroup;
  readonly phaseAge: Milliseconds;
}

/** Everything that a plan depends on. */
export interface PlannerInput {
  readonly services: readonly RoutedService[];
  readonly groups: readonly GroupView[];
  readonly engines: ReadonlyMap<string, EngineView>;
  /** Instances that are shutting down, or known to be gone. */
  readonly leaving: InstanceSet;
  /** Whether there has been a request. From the first request on, loads are slow and limited. */
  readonly hasTraffic: boolean;
  /** Whether engines are still starting for the first time, so that a placement now would use only some of them. */
  readonly isSettling: boolean;
  /** Loads from the weight store that may begin now. */
  readonly loadsAllowed: number;
  /** Models that hosts were ordered to stage and have not staged yet, by host. */
  readonly pendingStaging: ReadonlyMap<string, string>;
  /** Measured demand in concurrent requests, by model; empty until all gateways have reported theirs. */
  readonly demand: ReadonlyMap<string, number>;
  /** Time since this leader has known of each evacuation in force, by failure domain. */
  readonly evacuations: ReadonlyMap<string, Milliseconds>;
  /** What callers lose; undefined if planning is not to weigh models by it, or if it is not known yet. */
  readonly losses?: LossInput | undefined;
  /** First number for the names of new groups. */
  readonly nextNumber: number;
}

/** A group to place. */
export type NewEngineGroup = Omit<EngineGroup, 'fencingNumber' | 'phase'>;

/** A change of a group to another phase. */
export interface GroupAdvance {
  readonly name: string;
  readonly phase: EnginePhase;
  /** Why, for logs. */
  readonly reason: string;
}

/** The removal of a group; its engines become free. */
export interface GroupRemoval {
  readonly name: string;
  readonly reason: string;
}

/** Model that a host is to stage. */
export interface StagingOrder {
  readonly host: string;
  readonly model: string;
}

/** The changes to make now. */
export interface EngineDecision {
  readonly place: readonly NewEngineGroup[];
  readonly advance: readonly GroupAdvance[];
  readonly remove: readonly GroupRemoval[];
  readonly stage: readonly StagingOrder[];
  /** Groups among those to drain whose engines are for another model. */
  readonly exchanges?: readonly EngineExchange[];
}

/** An engine that answers and may become a member of a group. */
export interface AnsweringEngine {
  readonly member: EngineMember;
  readonly service: string;
  readonly reading: EngineReading;
  readonly lastModel: string | undefined;
}
