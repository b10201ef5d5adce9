import { describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import { createEngineProfile } from '../routing/documents.js';
import { EngineSimulation } from './engine-simulation.js';

/** A large model with hardly any demand beside a small one that is more urgent. */
function createWorld(seed: number): EngineSimulation {
  const world = new EngineSimulation({
    random: createRandomSource(seed),
    hostCount: 81,
    domainSize: 27,
    lateOrderShare: 0,
    profile: createEngineProfile({ slots: 34, loadsPerSecond: 6, groupSizes: [12, 6] }),
    demand: createDemand(14, 95),
  });
  world.outcomes = createOutcomes(0, 0);
  world.run(12_000);
  world.hasTraffic = true;
  return world;
}

function createDemand(large: number, small: number): ReadonlyMap<string, number> {
  return new Map([
    ['large', large],
    ['small', small],
  ]);
}

function createOutcomes(largeRefused: number, smallRefused: number) {
  return new Map([
    ['large', { inTime: 50 - largeRefused, late: 0, refused: largeRefused, priority: 1 }],
    ['small', { inTime: 300 - smallRefused, late: 0, refused: smallRefused, priority: 0 }],
  ]);
}

function countOpen(world: EngineSimulation, model: string): number {
  return world.openGroups.filter((group) => group.model === model).length;
}

describe('models of which one has hardly any demand', () => {
  // Guards against a burst in which the small model has six groups, and the large one a third group that its callers do not need.
  it.each([1, 2, 3])('leave engines for the reserve of the other, seed %d', (seed) => {
    const world = createWorld(seed);
    world.run(6000);
    expect([countOpen(world, 'large'), countOpen(world, 'small')]).toEqual([2, 8]);
    expect(world.violations).toEqual([]);
  });

  // Guards against engines that go back and forth while now one model lacks capacity and now the other.
  it.each([1, 2, 3])('give nothing back within 5 s if demand alternates, seed %d', (seed) => {
    const world = createWorld(seed);
    for (let step = 0; step < 12; step += 1) {
      const isLargeShort = step % 2 === 0;
      world.demand = createDemand(isLargeShort ? 130 : 14, isLargeShort ? 60 : 250);
      world.outcomes = isLargeShort ? createOutcomes(25, 0) : createOutcomes(0, 150);
      world.run(2000);
    }
    const log = world.exchangeLog;
    const returned = log.filter(({ from, to, at }) =>
      log.some(
        (other) => other.from === to && other.to === from && at - other.at < 5000 && at > other.at,
      ),
    );
    expect(log.length).toBeGreaterThan(0);
    expect(returned).toEqual([]);
    expect(world.violations).toEqual([]);
  });
});
