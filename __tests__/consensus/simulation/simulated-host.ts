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

/** An event without the reading of the host's clock. */
export type UntimedEvent = WithoutTime<ConsensusEvent>;

/** `frozen`: the process is suspended and can resume; `down`: it has ended. */
export type HostCondition = 'running' | 'frozen' | 'down';

/** A simulated control host: a core with its disk, state machine and clock. */
export class SimulatedHost {
  readonly name: string;
  readonly #peers: readonly string[];
  readonly #tuning: CoreTuning;
  readonly #seed: number;
  condition: HostCondition = 'running';
  isPartitioned = false;
  disk: SimulatedDisk;
  machine = new RegisterMachine();
  #core: ConsensusCore;
  #startedAt = 0;
  #startCount = 0;
  #wipeCount = 0;

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

  /** Replaces the disk with a blank one. Reusing the storage id is a deliberate fault. */
  wipe(reusesStorageId: boolean): void {
    this.condition = 'down';
    this.#wipeCount += 1;
    const { storageId } = this.disk.synced;
    this.disk = new SimulatedDisk(
      reusesStorageId ? storageId : `${this.name}${this.#wipeCount + 1}`,
    );
  }

  /** Starts a new process, whose clock starts at zero. */
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
    this.#startCount += 1;
    const random = createRandomSource(this.#seed + this.#startCount * 7919);
    const settings = { name: this.name, peers: this.#peers, tuning: this.#tuning, random };
    return new ConsensusCore(settings, this.disk.synced);
  }
}
