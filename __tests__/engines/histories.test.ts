import { describe, expect, it } from 'vitest';

import { createRandomSource, type RandomSource } from '../../src/common/index.js';
import { EngineSimulation, type SimulationOptions } from './engine-simulation.js';

/** Number of random histories per test; the environment variable sets a larger number for manual runs. */
const histories = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? '40');
const faultsPerHistory = 14;

function pickRandom<Item>(random: RandomSource, items: readonly Item[]): Item {
  const item = items[random.integerBelow(items.length)];
  if (item === undefined) {
    throw new Error('nothing to pick from');
  }
  return item;
}

function injectFault(simulation: EngineSimulation, random: RandomSource): void {
  const host = pickRandom(random, simulation.hosts);
  switch (random.integerBelow(8)) {
    case 0:
    case 1:
      simulation.killEngine(host);
      return;
    case 2:
    case 3:
      simulation.restartEngine(host);
      return;
    case 4:
      simulation.restartSidecar(host);
      return;
    case 5:
      host.isPartitioned = !host.isPartitioned;
      return;
    case 6:
      simulation.drain(host);
      return;
    default:
      simulation.changeLeader();
  }
}

function runHistory(seed: number, mutate?: SimulationOptions['mutate']): EngineSimulation {
  const random = createRandomSource(seed);
  const mutation = mutate === undefined ? {} : { mutate };
  const options = { random, hostCount: 20, domainSize: 10, lateOrderShare: 0.15, ...mutation };
  const simulation = new EngineSimulation(options);
  simulation.run(6000);
  for (let fault = 0; fault < faultsPerHistory; fault += 1) {
    injectFault(simulation, random);
    simulation.run(100 + random.integerBelow(2500));
  }
  simulation.hosts.forEach((host) => {
    host.isPartitioned = false;
  });
  simulation.run(20_000);
  return simulation;
}

describe('groups of engines under random losses, restarts, partitions, drains and delayed orders', () => {
  /**
   * Guards against two failures: a head opens although a member never joined, so that answers come from a part of the model; or a member
   * joins another group while the head of its own group still serves.
   */
  it('never opens an incomplete group and never splits a serving group', () => {
    for (let seed = 1; seed <= histories; seed += 1) {
      const { violations } = runHistory(seed);
      expect({ seed, violations }).toEqual({ seed, violations: [] });
    }
  });

  it.each<readonly [string, NonNullable<SimulationOptions['mutate']>]>([
    [
      'frees the engines of a closing group before its head is closed',
      (decision, groups) => ({
        ...decision,
        remove: groups
          .filter(({ phase }) => phase === 'closing')
          .map(({ name }) => ({ name, reason: 'mutant' })),
      }),
    ],
    [
      'opens a group before its members are ready',
      (decision, groups) => ({
        ...decision,
        advance: [
          ...decision.advance,
          ...groups
            .filter(({ phase }) => phase === 'joining')
            .map(({ name }) => ({ name, phase: 'opening' as const, reason: 'mutant' })),
        ],
      }),
    ],
  ])('detects a planner that %s', (_, mutate) => {
    const seeds = Array.from({ length: 20 }, (__, index) => index + 1);
    const found = seeds.some((seed) => runHistory(seed, mutate).violations.length > 0);
    expect(found).toBe(true);
  });

  it('serves again after the faults if enough engines are left', () => {
    for (let seed = 1; seed <= histories; seed += 1) {
      const simulation = runHistory(seed);
      const largest = Math.max(
        ...['d0', 'd1'].map((domain) => {
          return simulation.hosts.filter((host) => host.domain === domain && host.engine.isAlive)
            .length;
        }),
      );
      // The simulation does not tell which of the live engines are draining, so this is checked only if many are alive.
      if (largest >= 8) {
        expect({ seed, isServing: simulation.openGroups.length > 0 }).toEqual({
          seed,
          isServing: true,
        });
      }
    }
  });

  it('forms groups of both models before the first request', () => {
    const random = createRandomSource(7);
    const simulation = new EngineSimulation({
      random,
      hostCount: 30,
      domainSize: 10,
      lateOrderShare: 0,
    });
    simulation.run(6000);
    const models = new Set(simulation.openGroups.map(({ model }) => model));
    expect([...models].sort()).toEqual(['large', 'small']);
    const members = simulation.openGroups.flatMap((group) => group.members.map(({ host }) => host));
    expect(new Set(members).size).toBe(members.length);
  });
});
