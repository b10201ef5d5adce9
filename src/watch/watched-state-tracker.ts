import { emptyConfiguration } from '../configuration/index.js';
import { assertNever } from '../common/index.js';
import type {
  Configuration,
  GroupName,
  Revision,
  WatchedGroup,
  WatchedState,
} from '../model/index.js';

/** Builds the watched state from the events that control hosts send; free of I/O. */

/** Event that a control host sends to a watcher. */
export type WatchEvent =
  | { readonly type: 'connected' }
  | {
      readonly type: 'configuration';
      readonly revision: Revision;
      readonly configuration: Configuration;
    }
  | { readonly type: 'group'; readonly index: number; readonly group: WatchedGroup }
  | { readonly type: 'groupRemoved'; readonly index: number; readonly name: GroupName }
  | { readonly type: 'synchronized'; readonly index: number }
  | { readonly type: 'heartbeat'; readonly index: number; readonly isFresh: boolean };

/** Effect of an event on the state; `leave` means that the watcher must switch to another control host. */
export type WatchVerdict = 'unchanged' | 'changed' | 'leave';

/**
 * Tracks the highest revision and never reverts to an older one.
 * A control host that lags or is partitioned sends an older state; applying it would revert an accepted change.
 * The watcher leaves such a host as soon as its state turns out to be older than the current one.
 */
export class WatchedStateTracker {
  #state: WatchedState = {
    revision: 0,
    configuration: emptyConfiguration,
    groups: new Map(),
    isSynchronized: false,
  };
  #index = 0;
  /** Groups received on the current connection; undefined once the state is complete. */
  #incoming: Map<GroupName, WatchedGroup> | undefined;

  read(): WatchedState {
    return this.#state;
  }

  handle(event: WatchEvent): WatchVerdict {
    switch (event.type) {
      case 'connected':
        this.#incoming = new Map();
        return 'unchanged';
      case 'configuration':
        return this.#applyConfiguration(event.revision, event.configuration);
      case 'group':
        return this.#applyGroup(event.index, event.group);
      case 'groupRemoved':
        return this.#removeGroup(event.index, event.name);
      case 'synchronized':
        return this.#synchronize(event.index);
      case 'heartbeat':
        return event.isFresh ? 'unchanged' : 'leave';
      default:
        return assertNever(event);
    }
  }

  #applyConfiguration(revision: Revision, configuration: Configuration): WatchVerdict {
    if (revision < this.#state.revision) {
      return 'leave';
    }
    if (revision === this.#state.revision) {
      return 'unchanged';
    }
    this.#state = { ...this.#state, revision, configuration };
    return 'changed';
  }

  #applyGroup(index: number, group: WatchedGroup): WatchVerdict {
    const { name } = group.group;
    if (this.#incoming !== undefined) {
      this.#incoming.set(name, group);
      return 'unchanged';
    }
    this.#index = Math.max(this.#index, index);
    const current = this.#state.groups.get(name);
    if (current !== undefined && current.group.fencingNumber > group.group.fencingNumber) {
      return 'unchanged';
    }
    const groups = new Map(this.#state.groups).set(name, group);
    this.#state = { ...this.#state, groups };
    return 'changed';
  }

  #removeGroup(index: number, name: GroupName): WatchVerdict {
    if (this.#incoming !== undefined) {
      this.#incoming.delete(name);
      return 'unchanged';
    }
    this.#index = Math.max(this.#index, index);
    if (!this.#state.groups.has(name)) {
      return 'unchanged';
    }
    const groups = new Map(this.#state.groups);
    groups.delete(name);
    this.#state = { ...this.#state, groups };
    return 'changed';
  }

  #synchronize(index: number): WatchVerdict {
    const groups = this.#incoming;
    this.#incoming = undefined;
    if (groups === undefined || index < this.#index) {
      return 'leave';
    }
    this.#index = index;
    this.#state = { ...this.#state, groups, isSynchronized: true };
    return 'changed';
  }
}
