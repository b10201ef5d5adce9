import {
  ConsensusCore,
  type ConsensusEffect,
  type ConsensusEvent,
  type CoreTuning,
} from '../../../src/consensus/core/index.js';
import { createRandomSource } from '../../../src/common/index.js';
import { RegisterMachine } from './register.js';
import { SimulatedDisk } from './simulated-disk.js';

type WithoutTime<Event> = Event extends unknown ? Omit<Event, 'now'> : never;

/** An event before the host's clock stamps it. */
export type UntimedEvent = WithoutTime<ConsensusEvent>;

/** `frozen`: the process is stopped and will go on; `down`: it is gone. */
export type HostCondition = 'running' | 'frozen' | 'down';

/** A control host of the simulation: a core, its disk, its state machine, its clock. */
export class SimulatedHost {
  readonly name: string;
  readonly #peers: readonly string[];
  readonly #tuning: CoreTuning;
  readonly #seed: number;
  condition: HostCondition = 'running';
  isCut = false;
  disk: SimulatedDisk;
  machine = new RegisterMachine();
  #core: ConsensusCore;
  #startedAt = 0;
  #lives = 0;
  #wipes = 0;

  constructor(name: string, peers: readonly string[], tuning: CoreTuning, seed: number) {
    this.name = name;
    this.#peers = peers;
    this.#tuning = tuning;
    this.#seed = seed;
    this.disk = new SimulatedDisk(`${name}1`);
    this.#core = this.#createCore();
  }

  get core(): ConsensusCore {
    return this.#core;
  }

  get isLeading(): boolean {
    return this.condition !== 'down' && this.#core.view.type === 'leader';
  }

  handle(now: number, event: UntimedEvent): readonly ConsensusEffect[] {
    const timed = { ...event, now: now - this.#startedAt } as ConsensusEvent;
    return this.#core.handle(timed);
  }

  staleness(now: number): number {
    return this.#core.staleness(now - this.#startedAt);
  }

  /** Loses a disk; a storage id that survives it is a fault put in on purpose. */
  wipe(reusesStorageId: boolean): void {
    this.condition = 'down';
    this.#wipes += 1;
    const { storageId } = this.disk.synced;
    this.disk = new SimulatedDisk(reusesStorageId ? storageId : `${this.name}${this.#wipes + 1}`);
  }

  /** Starts a new process; its clock begins anew. */
  start(now: number): void {
    this.condition = 'running';
    this.#startedAt = now;
    this.machine = new RegisterMachine();
    const { snapshot } = this.disk.synced;
    if (snapshot !== undefined) {
      this.machine.restore(snapshot);
    }
    this.#core = this.#createCore();
  }

  #createCore(): ConsensusCore {
    this.#lives += 1;
    const random = createRandomSource(this.#seed + this.#lives * 7919);
    const settings = { name: this.name, peers: this.#peers, tuning: this.#tuning, random };
    return new ConsensusCore(settings, this.disk.synced);
  }
}
