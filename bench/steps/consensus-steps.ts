/** Steps of three consensus cores that commit one change after the other, with disks that sync at once. */
import {
  SimulatedHost,
  type UntimedEvent,
} from '../../__tests__/consensus/simulation/simulated-host.js';
import { defaultTuning, type ConsensusEffect } from '../../src/consensus/core/index.js';
import { formatFigure } from '../support/index.js';
import { createStepRow, StepMeter } from './step-meter.js';

const names = ['a', 'b', 'c'];
const commits = 3000;
const warmUpCommits = 300;
const tickMilliseconds = 50;
const electionTicks = 200;
/** About the size of a claim of an idempotency key. */
const command = 'x'.repeat(250);

type Message = Extract<ConsensusEffect, { readonly type: 'send' }> & { readonly from: string };

/** One change at a time, so that each has entries and messages of its own. */
export function measureConsensusSteps(): readonly (readonly string[])[] {
  const cluster = new QuietCluster();
  cluster.elect();
  const ticks = cluster.measureTicks();
  const steps = cluster.measureCommits();
  const perCommit = `${formatFigure(steps.steps / commits)} steps a change, all three hosts together`;
  return [
    createStepRow('consensus core, tick', ticks),
    createStepRow('consensus core, while it commits', steps, perCommit),
  ];
}

class QuietCluster {
  readonly #hosts = names.map(
    (name, position) =>
      new SimulatedHost(
        name,
        names.filter((peer) => peer !== name),
        defaultTuning,
        position + 1,
      ),
  );
  #meter = new StepMeter();
  #messages: Message[] = [];
  #now = 0;
  #applied = 0;

  /** Lets time pass until one host leads. */
  elect(): void {
    for (let tick = 0; tick < electionTicks; tick += 1) {
      this.#tick();
    }
    if (this.#findLeader() === undefined) {
      throw new Error('no host of this bench leads');
    }
  }

  measureTicks(): StepMeter {
    const meter = new StepMeter();
    for (let tick = 0; tick < commits; tick += 1) {
      this.#now += tickMilliseconds;
      for (const host of this.#hosts) {
        this.#carryOut(
          host,
          meter.measure(() => host.handle(this.#now, { type: 'tick' })),
        );
      }
      this.#deliver();
    }
    return meter;
  }

  measureCommits(): StepMeter {
    for (let number = 0; number < warmUpCommits + commits; number += 1) {
      if (number === warmUpCommits) {
        this.#meter = new StepMeter();
      }
      this.#commit(number);
    }
    return this.#meter;
  }

  #commit(proposalId: number): void {
    const leader = this.#findLeader();
    const before = this.#applied;
    if (leader !== undefined) {
      this.#now += 1;
      this.#handle(leader, { type: 'proposed', proposals: [{ proposalId, command }] });
      this.#deliver();
    }
    if (this.#applied === before) {
      throw new Error('the change of this bench was not committed');
    }
  }

  #tick(): void {
    this.#now += tickMilliseconds;
    for (const host of this.#hosts) {
      this.#handle(host, { type: 'tick' });
    }
    this.#deliver();
  }

  #findLeader(): SimulatedHost | undefined {
    return this.#hosts.find(({ isLeading }) => isLeading);
  }

  #handle(host: SimulatedHost, event: UntimedEvent): void {
    this.#carryOut(
      host,
      this.#meter.measure(() => host.handle(this.#now, event)),
    );
  }

  #carryOut(host: SimulatedHost, effects: readonly ConsensusEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'send') {
        this.#messages.push({ ...effect, from: host.name });
      } else if (effect.type === 'apply') {
        this.#applied += effect.entries.length;
      }
    }
    const write = effects.findLast((effect) => effect.type === 'persist')?.write;
    if (write !== undefined) {
      this.#handle(host, { type: 'persisted', write });
    }
  }

  #deliver(): void {
    for (let message = this.#messages.shift(); message; message = this.#messages.shift()) {
      const { from, to } = message;
      const host = this.#hosts.find(({ name }) => name === to);
      if (host !== undefined) {
        this.#handle(host, { type: 'received', from, message: message.message });
      }
    }
  }
}
