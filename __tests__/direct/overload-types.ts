import type { Milliseconds } from '../../src/common/index.js';
import type { Dispatch, Target, TargetChooser, TargetLoads } from '../../src/dispatch/index.js';
import type { Caller, CallerOutcomes } from './caller-outcomes.js';
import type { EngineGroupSimulation, GroupWork } from './engine-group-simulation.js';

/** Parameters, results and participants of the simulation of an overload. */

/** Which waiting request is sent first. `newest`: the latest. `objective`: the earliest that can be in time, then the late ones. */
export type WaitingOrder = 'newest' | 'objective';

export interface OverloadOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly groups: number;
  /** Arrivals in a second. */
  readonly rate: number;
  /** Factor of the arrivals during the burst. */
  readonly burst: number;
  readonly duration: Milliseconds;
  readonly burstFrom: Milliseconds;
  readonly burstUntil: Milliseconds;
  readonly awayFrom: Milliseconds;
  readonly awayUntil: Milliseconds;
  readonly objective: Milliseconds;
  readonly pace: number;
  /** Mean tokens. */
  readonly prompt: number;
  readonly answer: number;
  readonly order: WaitingOrder;
  readonly limitsByObjective: boolean;
  /** Share of the requests that one gateway gets; by default all get as many. */
  readonly concentration?: number;
  /** Time in which the second group takes longer by `factor`. */
  readonly slow?: {
    readonly from: Milliseconds;
    readonly until: Milliseconds;
    readonly factor: number;
  };
}

export interface OverloadResult extends CallerOutcomes {
  readonly refusals: number;
  /** Refusals while less than half of all slots were taken and nothing waited at a group. */
  readonly needlessRefusals: number;
  readonly longestQueue: number;
  /** Time from sending to the first event. */
  readonly medianTimeAtGroup: Milliseconds;
  readonly tailTimeAtGroup: Milliseconds;
  /** Share of slots that were free while requests waited at gateways. */
  readonly idleWhileWaiting: number;
}

export interface Request {
  readonly caller: Caller;
  readonly gateway: Gateway;
  readonly arrivedAt: Milliseconds;
  readonly isRetry: boolean;
  readonly tried: Set<string>;
  isUrgent: boolean;
  /** Tokens that are still to be written. */
  answer: number;
}

export interface Attempt extends GroupWork {
  readonly request: Request;
  readonly target: Target;
  readonly sentAt: Milliseconds;
  hasBegun: boolean;
  readonly dispatch: Dispatch | undefined;
  /** Whether its group is gone. */
  isLost: boolean;
}

export interface Gateway {
  readonly chooser: TargetChooser;
  readonly loads: TargetLoads;
  waiting: Request[];
}

export interface Group {
  readonly target: Target;
  readonly engine: EngineGroupSimulation<Attempt>;
  isAway: boolean;
}
