import { assertNever, type Milliseconds } from '../common/index.js';
import {
  RouteTable,
  type EngineGroup,
  type Evacuation,
  type Instance,
  type RoutingDocument,
} from '../routing/index.js';
import type { WatchVerdict } from './watched-state-tracker.js';

/** Builds the routing state of a watcher from the events that control hosts send; free of I/O. */

/** Routing state as known to a gateway or a sidecar. */
export interface RoutingView {
  /** Undefined before the first document. */
  readonly table: RouteTable | undefined;
  readonly instances: ReadonlyMap<string, Instance>;
  readonly engineGroups: ReadonlyMap<string, EngineGroup>;
  /** Keys of the subjects that must not be sent to upstreams; see `CrashSubject`. */
  readonly quarantined: ReadonlySet<string>;
  /** Evacuations in force, by failure domain. */
  readonly evacuations: ReadonlyMap<string, Evacuation>;
  /** False until the first complete state has arrived. */
  readonly isSynchronized: boolean;
  /** When a control host in contact with a quorum last confirmed that this state is current; undefined if that never happened. */
  readonly confirmedAt: Milliseconds | undefined;
  /** `ip:port` of the leader; empty while none is known. */
  readonly leader: string;
  /** `ip:port` of the voters in the last status message. */
  readonly voters: readonly string[];
}

/** Event of a routing watch. */
export type RoutingEvent =
  | { readonly type: 'connected' }
  | { readonly type: 'document'; readonly document: RoutingDocument }
  | { readonly type: 'instance'; readonly index: number; readonly instance: Instance }
  | { readonly type: 'instanceRemoved'; readonly index: number; readonly id: string }
  | { readonly type: 'engineGroup'; readonly index: number; readonly group: EngineGroup }
  | { readonly type: 'engineGroupRemoved'; readonly index: number; readonly name: string }
  | { readonly type: 'requestQuarantined'; readonly index: number; readonly request: string }
  | { readonly type: 'requestReleased'; readonly index: number; readonly request: string }
  | { readonly type: 'evacuation'; readonly index: number; readonly evacuation: Evacuation }
  | {
      readonly type: 'evacuationEnded';
      readonly index: number;
      readonly failureDomain: string;
    }
  | { readonly type: 'synchronized'; readonly index: number; readonly version: number }
  | {
      /** Periodic status message of the control host. */
      readonly type: 'sign';
      readonly now: Milliseconds;
      readonly isFresh: boolean;
      readonly leader: string;
      readonly voters: readonly string[];
    };

/** State before the first event. */
export const emptyRoutingView: RoutingView = {
  table: undefined,
  instances: new Map(),
  engineGroups: new Map(),
  quarantined: new Set(),
  evacuations: new Map(),
  isSynchronized: false,
  confirmedAt: undefined,
  leader: '',
  voters: [],
};

interface RoutingCollections {
  readonly instances: Map<string, Instance>;
  readonly engineGroups: Map<string, EngineGroup>;
  readonly quarantined: Set<string>;
  readonly evacuations: Map<string, Evacuation>;
}

/**
 * Tracks the newest state and never reverts to an older one.
 * A control host that lags or is partitioned sends an older state; applying it would restore routes and keys that were
 * removed. The watcher leaves such a host as soon as its state turns out to be older than the current one.
 */
export class RoutingStateTracker {
  #view = emptyRoutingView;
  #index = 0;
  /** State received on the current connection; undefined once it is complete. */
  #incoming: RoutingCollections | undefined;

  read(): RoutingView {
    return this.#view;
  }

  handle(event: RoutingEvent): WatchVerdict {
    switch (event.type) {
      case 'connected':
        this.#incoming = {
          instances: new Map(),
          engineGroups: new Map(),
          quarantined: new Set(),
          evacuations: new Map(),
        };
        return 'unchanged';
      case 'document':
        return this.#applyDocument(event.document);
      case 'instance':
        return this.#change(event.index, ({ instances }) => {
          instances.set(event.instance.id, event.instance);
        });
      case 'instanceRemoved':
        return this.#change(event.index, ({ instances }) => {
          instances.delete(event.id);
        });
      case 'engineGroup':
        return this.#change(event.index, ({ engineGroups }) => {
          engineGroups.set(event.group.name, event.group);
        });
      case 'engineGroupRemoved':
        return this.#change(event.index, ({ engineGroups }) => {
          engineGroups.delete(event.name);
        });
      case 'requestQuarantined':
        return this.#change(event.index, ({ quarantined }) => {
          quarantined.add(event.request);
        });
      case 'requestReleased':
        return this.#change(event.index, ({ quarantined }) => {
          quarantined.delete(event.request);
        });
      case 'evacuation':
        return this.#change(event.index, ({ evacuations }) => {
          evacuations.set(event.evacuation.failureDomain, event.evacuation);
        });
      case 'evacuationEnded':
        return this.#change(event.index, ({ evacuations }) => {
          evacuations.delete(event.failureDomain);
        });
      case 'synchronized':
        return this.#synchronize(event.index, event.version);
      case 'sign':
        return this.#applyStatus(event);
      default:
        return assertNever(event);
    }
  }

  #applyDocument(document: RoutingDocument): WatchVerdict {
    const current = this.#view.table?.document.version ?? -1;
    if (document.version < current) {
      return 'leave';
    }
    if (document.version === current) {
      return 'unchanged';
    }
    this.#view = { ...this.#view, table: new RouteTable(document) };
    return 'changed';
  }

  #change(index: number, change: (collected: RoutingCollections) => void): WatchVerdict {
    if (this.#incoming !== undefined) {
      change(this.#incoming);
      return 'unchanged';
    }
    this.#index = Math.max(this.#index, index);
    const collected = {
      instances: new Map(this.#view.instances),
      engineGroups: new Map(this.#view.engineGroups),
      quarantined: new Set(this.#view.quarantined),
      evacuations: new Map(this.#view.evacuations),
    };
    change(collected);
    this.#view = { ...this.#view, ...collected };
    return 'changed';
  }

  #synchronize(index: number, version: number): WatchVerdict {
    const collected = this.#incoming;
    this.#incoming = undefined;
    const isBehind = index < this.#index || version < (this.#view.table?.document.version ?? 0);
    if (collected === undefined || isBehind) {
      return 'leave';
    }
    this.#index = index;
    this.#view = { ...this.#view, ...collected, isSynchronized: true };
    return 'changed';
  }

  /** A status message confirms only a complete state; before that, the incoming state may be older than the current one. */
  #applyStatus(status: Extract<RoutingEvent, { readonly type: 'sign' }>): WatchVerdict {
    const { isFresh, leader, voters, now } = status;
    const isConfirmed = isFresh && this.#incoming === undefined;
    const isNewLeader = leader !== this.#view.leader;
    const confirmedAt = isConfirmed ? now : this.#view.confirmedAt;
    this.#view = { ...this.#view, leader, voters, confirmedAt };
    if (!isFresh && this.#incoming === undefined) {
      return 'leave';
    }
    return isNewLeader ? 'changed' : 'unchanged';
  }
}
