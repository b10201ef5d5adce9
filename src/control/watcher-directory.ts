import { create } from '@bufbuild/protobuf';

import type { Milliseconds } from '../common/index.js';
import {
  WatcherStateSchema,
  type WatcherState as WatcherStateMessage,
} from '../generated/pistachiospoke/v1/control_pb.js';
import type { Revision } from '../model/index.js';

/** The configuration revision that each gateway uses, as far as one control host knows. */

/** A gateway that has not been heard from for this long is dropped. */
const watcherRetention: Milliseconds = 24 * 60 * 60 * 1000;

/** State that a gateway reports about itself. */
export interface WatcherState {
  readonly name: string;
  readonly kind: string;
  readonly revision: Revision;
  /** `ip:port` where it serves other processes of the system; null if it serves none. */
  readonly address: string | null;
  /** Control host that it watches. */
  readonly control: string;
}

interface KnownWatcher {
  readonly state: WatcherState;
  readonly heardAt: Milliseconds;
}

/**
 * Gateways by name.
 * When a gateway switches to another control host, the previous one keeps its earlier state. If that state were forwarded
 * and accepted, the gateway would appear outdated for good, since it reports only when it gets a newer revision. So a report
 * from the gateway itself is always accepted (after a restart it begins at revision zero), a forwarded one only if it is not
 * older.
 */
export class WatcherDirectory {
  readonly #watchers = new Map<string, KnownWatcher>();

  /** Records a state forwarded by another control host, unless it is older. */
  recordForwarded(state: WatcherState, now: Milliseconds): void {
    const known = this.#watchers.get(state.name)?.state.revision ?? 0;
    if (state.revision >= known) {
      this.record(state, now);
    }
  }

  /** Records a state reported by the gateway itself. */
  record(state: WatcherState, now: Milliseconds): void {
    this.#watchers.set(state.name, { state, heardAt: now });
    for (const [name, { heardAt }] of this.#watchers) {
      if (now - heardAt > watcherRetention) {
        this.#watchers.delete(name);
      }
    }
  }

  /** Records that a watcher is connected to a control host at `now`. */
  refresh(name: string, control: string, now: Milliseconds): void {
    const known = this.#watchers.get(name);
    if (known !== undefined) {
      this.#watchers.set(name, { state: { ...known.state, control }, heardAt: now });
    }
  }

  list(): readonly KnownWatcher[] {
    return [...this.#watchers.values()];
  }

  /** States of the named gateways. A control host may forward only the states of gateways that watch it now. */
  listStates(names: readonly string[]): readonly WatcherState[] {
    return names.flatMap((name) => this.#watchers.get(name)?.state ?? []);
  }
}

export function encodeWatcher(state: WatcherState): WatcherStateMessage {
  return create(WatcherStateSchema, {
    watcher: state.name,
    kind: state.kind,
    configurationRevision: BigInt(state.revision),
    address: state.address ?? '',
  });
}

export function decodeWatcher(message: WatcherStateMessage, control: string): WatcherState {
  return {
    name: message.watcher,
    kind: message.kind,
    revision: Number(message.configurationRevision),
    address: message.address === '' ? null : message.address,
    control,
  };
}
