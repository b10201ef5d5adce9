import {
  defaultTuning,
  type ConsensusEffect,
  type ConsensusMessage,
} from '../../../src/consensus/core/index.js';
import { checkLogsMatch, History } from './history.js';
import { SimulatedHost, type UntimedEvent } from './simulated-host.js';

/** Deliberate faults, to verify that the invariant checks detect them. */
export type Mutation = 'none' | 'answersBeforeSync' | 'reusesStorageId' | 'answersBeforeCommit';

export interface ClusterOptions {
  readonly size: number;
  readonly seed: number;
  readonly mutation: Mutation;
  /** Factor on the first election timeout after a start; 1 if left out. */
  readonly firstElectionTimeoutFraction?: number;
}

/** Receives the delivered messages and executed effects, for the transcripts of golden sessions. */
export interface ClusterObserver {
  readonly delivered: (now: number, envelope: Envelope) => void;
  readonly executed: (now: number, host: string, effect: ConsensusEffect) => void;
}

const noObserver: ClusterObserver = {
  delivered: () => undefined,
  executed: () => undefined,
};

export interface Envelope {
  readonly from: string;
  readonly to: string;
  readonly message: ConsensusMessage;
}

/** Small limits, so that short schedules reach the limits of windows, batches, chunks and compaction. */
const tuning = {
  ...defaultTuning,
  batchEntries: 3,
  windowEntries: 6,
  snapshotChunkCharacters: 16,
  retainedEntries: 2,
};

const tickMilliseconds = 125;

/** Control hosts in one process, with a simulated network and disks into which a schedule injects faults. */
export class SimulatedCluster {
  readonly history = new History();
  readonly hosts: readonly SimulatedHost[];
  readonly confirmedReads = new Map<number, readonly number[]>();
  readonly #mutation: Mutation;
  readonly #observer: ClusterObserver;
  #network: Envelope[] = [];
  #now = 0;
  #lastValue = 0;
  #lastReadId = 0;
  /** Number of snapshots that followers installed in place of their log. */
  restoreCount = 0;

  constructor(options: ClusterOptions, observer: ClusterObserver = noObserver) {
    const { size, seed, mutation, firstElectionTimeoutFraction = 1 } = options;
    const clusterTuning = { ...tuning, firstElectionTimeoutFraction };
    this.#mutation = mutation;
    this.#observer = observer;
    const names = ['a', 'b', 'c', 'd', 'e'].slice(0, size);
    this.hosts = names.map((name, position) => {
      const peers = names.filter((peer) => peer !== name);
      return new SimulatedHost(name, peers, clusterTuning, seed + position * 104_729);
    });
  }

  get now(): number {
    return this.#now;
  }

  get messageCount(): number {
    return this.#network.length;
  }

  get leader(): SimulatedHost | undefined {
    return this.hosts.findLast((host) => host.isLeading && host.condition === 'running');
  }

  hostAt(position: number): SimulatedHost {
    const host = this.hosts[position % this.hosts.length];
    if (host === undefined) {
      throw new Error('a cluster has hosts');
    }
    return host;
  }

  /** Passes an event to a running host and executes the resulting effects. */
  handle(host: SimulatedHost, event: UntimedEvent): void {
    if (host.condition !== 'running') {
      return;
    }
    const effects = host.handle(this.#now, event);
    this.history.observeLeader(host);
    for (const effect of effects) {
      this.#execute(host, effect);
    }
    const write = effects.findLast((effect) => effect.type === 'persist')?.write;
    if (write !== undefined && this.#mutation === 'answersBeforeSync') {
      this.handle(host, { type: 'persisted', write });
    }
  }

  /** Advances the clock and ticks the hosts; delivers no message and syncs no disk. */
  advance(milliseconds: number): void {
    this.#now += milliseconds;
    for (const host of this.hosts) {
      this.handle(host, { type: 'tick' });
    }
  }

  /** Advances the clock while messages are delivered and disks are synced. */
  run(milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += tickMilliseconds) {
      this.advance(tickMilliseconds);
      this.settle();
    }
    for (const host of this.hosts.filter(({ condition }) => condition === 'running')) {
      this.history.observeStaleness(host, this.#now);
    }
  }

  /** Delivers messages and syncs disks for the round trips of one tick. */
  settle(): void {
    for (let round = 0; round < 6 && this.#isBusy; round += 1) {
      this.hosts.forEach((host) => {
        this.sync(host, Infinity);
      });
      const arriving = this.#network;
      this.#network = [];
      arriving.forEach((envelope) => {
        this.#deliverEnvelope(envelope);
      });
    }
  }

  deliver(position: number): void {
    const [envelope] = this.#network.splice(position % Math.max(this.#network.length, 1), 1);
    if (envelope !== undefined) {
      this.#deliverEnvelope(envelope);
    }
  }

  duplicate(position: number): void {
    const envelope = this.#network[position % Math.max(this.#network.length, 1)];
    if (envelope !== undefined) {
      this.#deliverEnvelope(envelope);
    }
  }

  drop(position: number): void {
    this.#network.splice(position % Math.max(this.#network.length, 1), 1);
  }

  sync(host: SimulatedHost, count: number): void {
    if (host.condition !== 'running' || !host.disk.isDirty) {
      return;
    }
    const write = host.disk.sync(count);
    if (write !== undefined && this.#mutation !== 'answersBeforeSync') {
      this.handle(host, { type: 'persisted', write });
    }
  }

  /** Proposes a new value, or one that was proposed before. */
  propose(host: SimulatedHost, value = this.#createValue()): number {
    const wasLeading = host.isLeading && host.condition === 'running';
    const proposals = [{ proposalId: value, command: String(value) }];
    this.handle(host, { type: 'proposed', proposals });
    if (this.#mutation === 'answersBeforeCommit' && wasLeading) {
      this.history.observeAnswer(value, this.#now);
    }
    return value;
  }

  /** Requests a read; its values are in `confirmedReads` once it is confirmed. */
  read(host: SimulatedHost): number {
    this.#lastReadId += 1;
    const readId = this.#lastReadId;
    this.history.observeReadRequest(readId);
    this.handle(host, { type: 'readRequested', readId });
    return readId;
  }

  takeSnapshot(host: SimulatedHost): void {
    const { appliedIndex } = host.machine;
    const data = host.machine.takeSnapshot();
    this.handle(host, { type: 'snapshotTaken', index: appliedIndex, data });
  }

  crash(host: SimulatedHost, keptChanges: number, keepsHardState: boolean): void {
    host.condition = 'down';
    host.disk.crash(keptChanges, keepsHardState);
  }

  /** Wipes a disk, unless it holds the last copy of the log: without any copy there is nothing left to check. */
  wipe(host: SimulatedHost): void {
    const isKeptElsewhere = this.hosts.some(
      (other) => other !== host && other.disk.synced.hardState.term > 0,
    );
    if (isKeptElsewhere) {
      host.wipe(this.#mutation === 'reusesStorageId');
      host.start(this.#now);
    }
  }

  start(host: SimulatedHost): void {
    if (host.condition === 'down') {
      host.start(this.#now);
    }
  }

  /** Ends all faults. */
  heal(): void {
    for (const host of this.hosts) {
      host.isPartitioned = false;
      host.condition = host.condition === 'frozen' ? 'running' : host.condition;
      this.start(host);
    }
  }

  checkLogs(): void {
    const states = this.hosts.map((host) => host.disk.newest);
    for (const [position, left] of states.entries()) {
      for (const right of states.slice(position + 1)) {
        checkLogsMatch(left, right);
      }
    }
  }

  get #isBusy(): boolean {
    return this.#network.length > 0 || this.hosts.some(({ disk }) => disk.isDirty);
  }

  #deliverEnvelope({ from, to, message }: Envelope): void {
    const host = this.hosts.find(({ name }) => name === to);
    const sender = this.hosts.find(({ name }) => name === from);
    if (host === undefined || host.isPartitioned || sender?.isPartitioned === true) {
      return;
    }
    if (host.condition === 'frozen') {
      this.#network.push({ from, to, message });
      return;
    }
    this.#observer.delivered(this.#now, { from, to, message });
    this.handle(host, { type: 'received', from, message });
  }

  #createValue(): number {
    this.#lastValue += 1;
    return this.#lastValue;
  }

  #execute(host: SimulatedHost, effect: ConsensusEffect): void {
    this.#observer.executed(this.#now, host.name, effect);
    switch (effect.type) {
      case 'send':
        this.#network.push({ from: host.name, to: effect.to, message: effect.message });
        return;
      case 'persist':
        host.disk.add(effect.write, effect.change);
        return;
      case 'apply':
        for (const committed of effect.entries) {
          this.history.observeCommitted(committed);
          host.machine.apply(committed);
          if (committed.proposalId !== undefined) {
            this.history.observeAnswer(committed.proposalId, this.#now);
          }
        }
        return;
      case 'restore':
        host.machine.restore(effect.snapshot);
        this.restoreCount += 1;
        return;
      case 'proposalFailed':
        if (effect.failure.code === 'noQuorum') {
          this.history.observeRefusal(effect.proposalId);
        }
        return;
      case 'readConfirmed':
        this.history.observeRead(effect.readId, host.machine.values);
        this.confirmedReads.set(effect.readId, host.machine.values);
        return;
      case 'readFailed':
      case 'membershipAnswered':
      case 'leadershipChanged':
        return;
    }
  }
}
