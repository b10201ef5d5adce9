import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { SimulatedCluster } from './simulation/simulated-cluster.js';

/** Reference implementation: a single copy that is never lost and never accessed concurrently. */
class SingleCopyRegister {
  #values: readonly number[] = [];

  get values(): readonly number[] {
    return this.#values;
  }

  write(value: number): void {
    this.#values = [...this.#values, value];
  }
}

type Operation =
  | { readonly type: 'write' | 'read' | 'snapshot' }
  | { readonly type: 'crash' | 'freeze' | 'cut' | 'wipe'; readonly host: number };

const operation: fc.Arbitrary<Operation> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ type: fc.constantFrom('write' as const, 'read' as const) }) },
  { weight: 1, arbitrary: fc.constant({ type: 'snapshot' as const }) },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constantFrom('crash' as const, 'freeze' as const, 'cut' as const, 'wipe' as const),
      host: fc.nat(2),
    }),
  },
);

/** A client that retries a write until it is answered, as an operator would with one change id. */
class Client {
  readonly #cluster: SimulatedCluster;

  constructor(cluster: SimulatedCluster) {
    this.#cluster = cluster;
  }

  write(value: number): void {
    for (let tries = 0; tries < 20; tries += 1) {
      const { leader } = this.#cluster;
      if (leader !== undefined) {
        this.#cluster.propose(leader, value);
      }
      this.#cluster.run(1000);
      if (this.#cluster.history.answeredValues.includes(value)) {
        return;
      }
    }
    throw new Error(`write ${value} was not answered`);
  }

  /** Returns the values in order of their first write. */
  read(): readonly number[] {
    for (let tries = 0; tries < 20; tries += 1) {
      const { leader } = this.#cluster;
      const readId = leader === undefined ? 0 : this.#cluster.read(leader);
      this.#cluster.run(1000);
      const values = this.#cluster.confirmedReads.get(readId);
      if (values !== undefined) {
        return [...new Set(values)];
      }
    }
    throw new Error('read was not answered');
  }
}

/** Injects a fault into one host at a time, so that the others are a quorum. */
function injectFault(
  cluster: SimulatedCluster,
  type: 'crash' | 'freeze' | 'cut' | 'wipe',
  host: number,
): void {
  cluster.heal();
  cluster.run(5000);
  const target = cluster.hostAt(host);
  switch (type) {
    case 'crash':
      cluster.crash(target, 0, false);
      return;
    case 'wipe':
      cluster.wipe(target);
      return;
    case 'freeze':
      target.condition = 'frozen';
      return;
    case 'cut':
      target.isPartitioned = true;
      return;
  }
}

describe('the replicated register', () => {
  it('answers like a single copy', () => {
    const sessions = fc.array(operation, { minLength: 10, maxLength: 30, size: 'max' });
    const property = fc.property(sessions, fc.nat(9999), (operations, seed) => {
      const cluster = new SimulatedCluster({ size: 3, seed, mutation: 'none' });
      const client = new Client(cluster);
      const reference = new SingleCopyRegister();
      let lastValue = 0;
      for (const next of operations) {
        switch (next.type) {
          case 'write':
            lastValue += 1;
            client.write(lastValue);
            reference.write(lastValue);
            break;
          case 'read':
            expect(client.read()).toEqual(reference.values);
            break;
          case 'snapshot':
            cluster.hosts.forEach((host) => {
              cluster.takeSnapshot(host);
            });
            break;
          case 'crash':
          case 'freeze':
          case 'cut':
          case 'wipe':
            injectFault(cluster, next.type, next.host);
            break;
        }
      }
      cluster.heal();
      expect(client.read()).toEqual(reference.values);
    });
    fc.assert(property, { numRuns: 300, seed: 7 });
  });
});
