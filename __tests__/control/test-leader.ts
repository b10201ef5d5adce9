import { InstanceTracker } from '../../src/control/routing/index.js';
import {
  applyCommand,
  decodeSnapshot,
  encodeSnapshot,
  initialControlState,
  type ControlState,
} from '../../src/control/state/index.js';
import type { Announcement, Instance } from '../../src/routing/index.js';
import { createDocument } from '../routing/documents.js';

/** An instance that has not announced itself for this long is removed. */
const silenceLimit = 5000;

/** A control leader that handles announcements and records the resulting changes. */
export class TestLeader {
  readonly #onRecorded: (instances: readonly Instance[]) => void;
  #tracker = new InstanceTracker();
  #state: ControlState;

  constructor(onRecorded: (instances: readonly Instance[]) => void = () => undefined) {
    this.#onRecorded = onRecorded;
    const document = createDocument();
    this.#state = applyCommand(initialControlState, { type: 'putRouting', at: 0, document }).state;
  }

  get instances(): readonly Instance[] {
    return [...this.#state.routing.instances.values()];
  }

  /** Returns the type of the verdict. */
  handleAnnouncement(announcement: Announcement, now: number): string {
    const verdict = this.#tracker.handleAnnouncement(announcement, this.#state.routing, now);
    if (verdict.type === 'record') {
      this.#record(verdict.changes);
    }
    return verdict.type;
  }

  removeSilent(now: number): void {
    const silent = this.#tracker.findSilent(this.#state.routing, now, silenceLimit);
    this.#record({ silent });
  }

  /** Simulates a new leader, which knows the state but no earlier announcements. */
  replace(): void {
    this.#tracker = new InstanceTracker();
  }

  /** Encodes and decodes the state as a snapshot. */
  restoreFromSnapshot(): void {
    this.#state = decodeSnapshot(encodeSnapshot(this.#state));
  }

  #record(changes: object): void {
    const command = {
      type: 'recordInstances' as const,
      at: 0,
      present: [],
      retired: [],
      silent: [],
    };
    this.#state = applyCommand(this.#state, { ...command, ...changes }).state;
    this.#onRecorded(this.instances);
  }
}
