import { describe, expect, it } from 'vitest';

import { createRandomSource, type RandomSource } from '../../src/common/index.js';
import { EngineWorld, type WorldOptions } from './world.js';

/** Histories for each run of the tests; more by hand with the variable. */
const histories = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? '40');
const faultsInHistory = 14;

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
  const item = items[random.integerBelow(items.length)];
  if (item === undefined) {
    throw new Error('nothing to pick from');
  }
  return item;
}

function strike(world: EngineWorld, random: RandomSource): void {
  const host = pick(random, world.hosts);
  switch (random.integerBelow(8)) {
    case 0:
    case 1:
      world.killEngine(host);
      return;
    case 2:
    case 3:
      world.restartEngine(host);
      return;
    case 4:
      world.restartSidecar(host);
      return;
    case 5:
      host.isCut = !host.isCut;
      return;
    case 6:
      world.drain(host);
      return;
    default:
      world.changeLeader();
  }
}

function playHistory(seed: number, mutate?: WorldOptions['mutate']): EngineWorld {
  const random = createRandomSource(seed);
  const mutant = mutate === undefined ? {} : { mutate };
  const options = { random, hostCount: 20, domainSize: 10, lateOrders: 0.15, ...mutant };
  const world = new EngineWorld(options);
  world.run(6000);
  for (let fault = 0; fault < faultsInHistory; fault += 1) {
    strike(world, random);
    world.run(100 + random.integerBelow(2500));
  }
  world.hosts.forEach((host) => {
    host.isCut = false;
  });
  world.run(20_000);
  return world;
}

describe('groups of engines under random losses, restarts, cuts, drains and late orders', () => {
  /**
   * What could go wrong: a head is opened while a member never joined (answers come from a part of the model), or a member
   * is taken into another group while the head of its own still serves.
   */
  it('never opens a part of a group and never splits one that serves', () => {
    for (let seed = 1; seed <= histories; seed += 1) {
      const { violations } = playHistory(seed);
      expect({ seed, violations }).toEqual({ seed, violations: [] });
    }
  });

  it.each<readonly [string, NonNullable<WorldOptions['mutate']>]>([
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
  ])('sees a planner that %s', (_, mutate) => {
    const seeds = Array.from({ length: 20 }, (__, index) => index + 1);
    const found = seeds.some((seed) => playHistory(seed, mutate).violations.length > 0);
    expect(found).toBe(true);
  });

  it('serves again after the faults wherever enough engines are left', () => {
    for (let seed = 1; seed <= histories; seed += 1) {
      const world = playHistory(seed);
      const largest = Math.max(
        ...['d0', 'd1'].map((domain) => {
          return world.hosts.filter((host) => host.domain === domain && host.engine.isAlive).length;
        }),
      );
      // Of draining engines the world does not say which are left, so this asks only where many are alive.
      if (largest >= 8) {
        expect({ seed, isServing: world.openGroups.length > 0 }).toEqual({ seed, isServing: true });
      }
    }
  });

  it('forms both models within the time before the first request', () => {
    const random = createRandomSource(7);
    const world = new EngineWorld({ random, hostCount: 30, domainSize: 10, lateOrders: 0 });
    world.run(6000);
    const models = new Set(world.openGroups.map(({ model }) => model));
    expect([...models].sort()).toEqual(['large', 'small']);
    const members = world.openGroups.flatMap((group) => group.members.map(({ host }) => host));
    expect(new Set(members).size).toBe(members.length);
  });
});
