import type { WallTime } from '../../common/index.js';
import type { EngineReading } from '../../routing/index.js';

/** What a sidecar needs of the engine beside it; an adapter translates it to the engine's own protocol. */

/** An order to an engine; each names the group that it is for, and affects no other. */
export type EngineOrder =
  | {
      readonly type: 'join';
      readonly group: string;
      readonly fencingNumber: number;
      readonly model: string;
      /** Ids of the instances of all members, the head first. */
      readonly members: readonly string[];
    }
  | { readonly type: 'open'; readonly group: string; readonly fencingNumber: number }
  | { readonly type: 'close'; readonly group: string; readonly fencingNumber: number }
  | { readonly type: 'leave'; readonly group: string; readonly fencingNumber: number }
  | { readonly type: 'stage'; readonly model: string };

/**
 * What became of an order. `unanswered`: it may have been taken, or may be carried out seconds later.
 * `unfit`: it does not fit the state of the engine now. `outdated`: a newer one was taken before it.
 */
export type OrderOutcome = 'accepted' | 'unfit' | 'outdated' | 'unanswered';

/** What an engine says of itself, without its id. */
export interface EngineStatus {
  readonly type: 'status';
  readonly state: Omit<EngineReading, 'instance'>;
  /** When it started, by its own clock; undefined where it does not say. */
  readonly startedAt: WallTime | undefined;
  /** Orders that it has begun since it started; it falls when the engine was started again. */
  readonly orderCount: number;
  /** Grows with every connection to the engine: behind a new one there may be another instance. */
  readonly connection: number;
}

/**
 * What came of asking an engine. `unreadable`: something answered, in a way that says nothing of the engine. `unanswered`: no answer came
 * in time, or its connection broke. `refused`: nothing listens there.
 */
export type EngineAnswer =
  | EngineStatus
  | { readonly type: 'unreadable'; readonly reason: string }
  | { readonly type: 'unanswered'; readonly reason: string }
  | { readonly type: 'refused' };

/** The engine beside a sidecar. */
export interface EnginePort {
  /** `ip:port`. */
  readonly address: string;
  readonly readStatus: () => Promise<EngineAnswer>;
  /** Id of the instance that answers; undefined when none does. */
  readonly readInstance: () => Promise<string | undefined>;
  readonly order: (order: EngineOrder) => Promise<OrderOutcome>;
  /** Called back when the connection to the engine closes: it may just have ended. */
  readonly onDisconnect: (listener: () => void) => void;
  readonly close: () => Promise<void>;
}
