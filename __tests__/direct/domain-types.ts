import type { Milliseconds } from '../../src/common/index.js';
import type { Dispatch, Target, TargetChooser, TargetLoads } from '../../src/dispatch/index.js';
import type { EngineGroupSimulation, GroupWork } from './engine-group-simulation.js';
import type { InstanceSimulation } from './instance-simulation.js';

/** Parameters, results and participants of the simulation of failure domains. */

/**
 * `time`: by expected time, delays declared. `load`: no delays declared. `nearest`: least loaded in the own domain, others only if those are
 * full.
 */
export type DomainPolicy = 'time' | 'load' | 'nearest';

export interface DomainOptions {
  readonly seed: number;
  readonly policy: DomainPolicy;
  readonly gateways: number;
  /** Groups of engines, or instances of a plain service. */
  readonly upstreams: 'groups' | 'instances';
  readonly count: number;
  /** Arrivals in a second, by domain. */
  readonly rates: readonly number[];
  /** One way between domains. */
  readonly delay: Milliseconds;
  readonly objective: Milliseconds;
  readonly duration: Milliseconds;
  /** Factor on the times of the first upstream. */
  readonly slowdown?: number;
  /** Share of its requests that the second upstream fails. */
  readonly failures?: number;
  /** Domain whose upstreams are away from a third of the duration on. */
  readonly lostDomain?: number;
}

export interface DomainResult {
  readonly requests: number;
  readonly inTime: number;
  readonly late: number;
  /** Refused, or failed at two upstreams. */
  readonly unserved: number;
  /** Requests sent to another domain than that of their gateway. */
  readonly abroad: number;
  readonly sent: number;
  /** Requests sent to the first and the second upstream. */
  readonly sentTo: readonly number[];
}

export interface Request {
  readonly arrivedAt: Milliseconds;
  readonly prompt: number;
  readonly answer: number;
  readonly tried: Set<string>;
}

export interface Gateway {
  readonly domain: string;
  readonly chooser: TargetChooser;
  readonly loads: TargetLoads;
  waiting: Request[];
}

export interface Attempt extends GroupWork {
  readonly gateway: Gateway;
  readonly request: Request;
  readonly target: Target;
  readonly dispatch: Dispatch | undefined;
}

export interface Group {
  readonly target: Target;
  readonly index: number;
  readonly engine: EngineGroupSimulation<Attempt> | InstanceSimulation<Attempt>;
}
