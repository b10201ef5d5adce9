import type { WallTime } from '../../common/index.js';
import type { EngineReading } from '../../routing/index.js';

/** Interface between a sidecar and its local engine. An adapter translates it to the engine's own protocol. */

/** An order to an engine. Orders about a group name it and affect no other group. */
export type EngineOrder =
  | {
      readonly type: 'join';
      readonly group: string;
      readonly fencingNumber: number;
      readonly model: string;
      /** Instance ids of all members, the head first. */
      readonly members: readonly string[];
    }
  | { readonly type: 'open'; readonly group: string; readonly fencingNumber: number }
  | { readonly type: 'close'; readonly group: string; readonly fencingNumber: number }
  | { readonly type: 'leave'; readonly group: string; readonly fencingNumber: number }
  | { readonly type: 'stage'; readonly model: string };

/**
 * Result of an order. `unanswered`: the engine may have accepted it, or may still execute it seconds later.
 * `unfit`: not valid in the current state of the engine. `outdated`: the engine has already accepted a newer order.
 */
export type OrderOutcome = 'accepted' | 'unfit' | 'outdated' | 'unanswered';

/** Status that an engine reports, without its id. */
export interface EngineStatus {
  readonly type: 'status';
  readonly state: Omit<EngineReading, 'instance'>;
  /** Start time by the engine's own clock; undefined if the engine does not report it. */
  readonly startedAt: WallTime | undefined;
  /** Number of orders begun since the engine started. A lower value than before means that the engine was restarted. */
  readonly orderCount: number;
  /** Increases with every new connection to the engine, because a new connection may lead to another instance. */
  readonly connection: number;
}

/**
 * Result of a status request. `unreadable`: a response arrived that carries no valid status. `unanswered`: the request timed out or its
 * connection broke. `refused`: nothing listens on the address.
 */
export type EngineStatusResult =
  | EngineStatus
  | { readonly type: 'unreadable'; readonly reason: string }
  | { readonly type: 'unanswered'; readonly reason: string }
  | { readonly type: 'refused' };

/** Client of the sidecar's local engine. */
export interface EnginePort {
  /** `ip:port`. */
  readonly address: string;
  readonly readStatus: () => Promise<EngineStatusResult>;
  /** Id of the instance that responds; undefined if none does. */
  readonly readInstance: () => Promise<string | undefined>;
  /**
   * `orderCount`: the count in the status on which the order is based. The engine refuses the order as unfit if it has begun another one
   * since; otherwise a copy that it executes seconds late could put it back into a group that it has left.
   */
  readonly order: (order: EngineOrder, orderCount: number) => Promise<OrderOutcome>;
  /** Registers a listener for closed connections: the engine may just have terminated. */
  readonly onDisconnect: (listener: () => void) => void;
  readonly close: () => Promise<void>;
}
