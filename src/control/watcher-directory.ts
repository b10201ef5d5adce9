import { create } from '@bufbuild/protobuf';

import type { Milliseconds } from '../common/index.js';
import {
  WatcherStateSchema,
  type WatcherState as WatcherStateMessage,
} from '../generated/pistachiospoke/v1/control_pb.js';
import type { Revision } from '../model/index.js';

/** Which gateway has which revision in force, as one control host knows it. */

/** A gateway that is quiet for this long is forgotten. */
const forgetAfter: Milliseconds = 24 * 60 * 60 * 1000;

/** What a gateway said of itself. */
export interface WatcherState {
  readonly name: string;
  readonly kind: string;
  readonly revision: Revision;
  /** `ip:port` for processes of the system; null where it serves none. */
  readonly address: string | null;
  /** Control host that it watches. */
  readonly control: string;
}

interface KnownWatcher {
  readonly state: WatcherState;
  readonly heardAt: Milliseconds;
}

/**
 * The gateways by name.
 * A gateway changes the control host that it watches, and the one it left goes on knowing its earlier word. Passed on and
 * taken, that word would show the gateway behind for good, since a gateway speaks only when it gets a newer revision.
 * So the gateway's own word is always taken (after a restart it begins at zero), a word passed on only if it is not older.
 */
export class WatcherDirectory {
  readonly #watchers = new Map<string, KnownWatcher>();

  /** Takes what another control host passes on. */
  takeForwarded(state: WatcherState, now: Milliseconds): void {
    const known = this.#watchers.get(state.name)?.state.revision ?? 0;
    if (state.revision >= known) {
      this.take(state, now);
    }
  }

  /** Takes a gateway's own word. */
  take(state: WatcherState, now: Milliseconds): void {
    this.#watchers.set(state.name, { state, heardAt: now });
    for (const [name, { heardAt }] of this.#watchers) {
      if (now - heardAt > forgetAfter) {
        this.#watchers.delete(name);
      }
    }
  }

  /** Notes that a watcher is connected to a control host at `now`. */
  refresh(name: string, control: string, now: Milliseconds): void {
    const known = this.#watchers.get(name);
    if (known !== undefined) {
      this.#watchers.set(name, { state: { ...known.state, control }, heardAt: now });
    }
  }

  list(): readonly KnownWatcher[] {
    return [...this.#watchers.values()];
  }

  /** Those of these names; only a control host that a gateway watches now may speak for it. */
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
