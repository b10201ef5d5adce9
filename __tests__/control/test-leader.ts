import { InstanceBook } from '../../src/control/routing/index.js';
import {
  applyCommand,
  decodeSnapshot,
  encodeSnapshot,
  initialControlState,
  type ControlState,
} from '../../src/control/state/index.js';
import type { Announcement, Instance } from '../../src/routing/index.js';
import { createDocument } from '../routing/documents.js';

/** An instance that is not heard of for this long is dropped. */
const silenceLimit = 5000;

/** A leader of control that takes announcements and records what they change. */
export class TestLeader {
  readonly #onRecorded: (instances: readonly Instance[]) => void;
  #book = new InstanceBook();
  #state: ControlState;

  constructor(onRecorded: (instances: readonly Instance[]) => void = () => undefined) {
    this.#onRecorded = onRecorded;
    const document = createDocument();
    this.#state = applyCommand(initialControlState, { type: 'putRouting', at: 0, document }).state;
  }

  get instances(): readonly Instance[] {
    return [...this.#state.routing.instances.values()];
  }

  /** Answers what the announcement was taken for. */
  take(announcement: Announcement, now: number): string {
    const verdict = this.#book.take(announcement, this.#state.routing, now);
    if (verdict.type === 'record') {
      this.#record(verdict.changes);
    }
    return verdict.type;
  }

  dropSilent(now: number): void {
    const silent = this.#book.findSilent(this.#state.routing, now, silenceLimit);
    this.#record({ silent });
  }

  /** Another host leads, which knows the state and nothing that was announced. */
  change(): void {
    this.#book = new InstanceBook();
  }

  /** The state goes through a snapshot. */
  restore(): void {
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
