import { describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import { createEngineProfile } from '../routing/documents.js';
import { EngineSimulation } from './engine-simulation.js';

/** Deployments in which a domain is evacuated, with one failure each. */

const profile = createEngineProfile({ slots: 34, loadsPerSecond: 6, groupSizes: [12, 6] });
/** Latest drain, its longest duration, and the reports and orders of each step. */
const evacuationTime = 2000 + 1800 + 500;
const seeds = [1, 2, 3, 4];

function createWorld(seed: number): EngineSimulation {
  const world = new EngineSimulation({
    random: createRandomSource(seed),
    hostCount: 81,
    domainSize: 27,
    lateOrderShare: 0,
    profile,
    demand: new Map([
      ['large', 30],
      ['small', 95],
    ]),
  });
  world.run(12_000);
  world.hasTraffic = true;
  world.run(6000);
  return world;
}

/** Open groups of a model that have a member in one of the domains. */
function countOpen(world: EngineSimulation, domains: readonly string[], model?: string): number {
  const hosts = new Map(world.hosts.map(({ name, domain }) => [name, domain]));
  return world.openGroups.filter((group) => {
    const isThere = group.members.some(({ host }) => domains.includes(hosts.get(host) ?? ''));
    return isThere && (model === undefined || group.model === model);
  }).length;
}

function killAll(world: EngineSimulation, domain: string) {
  const lost = world.hosts.filter((host) => host.domain === domain && host.engine.isAlive);
  lost.forEach((host) => {
    world.killEngine(host);
  });
  return lost;
}

describe('a domain that is evacuated under traffic', () => {
  it.each(seeds)('serves nothing after 4.3 s, seed %d', (seed) => {
    const world = createWorld(seed);
    expect(countOpen(world, ['d0'])).toBeGreaterThan(0);
    world.evacuate('d0');
    world.run(evacuationTime);
    expect(countOpen(world, ['d0'])).toBe(0);
    expect(countOpen(world, ['d1', 'd2'], 'large')).toBeGreaterThan(0);
    expect(world.violations).toEqual([]);
  });

  // Guards against engines that stay idle after the end.
  it.each(seeds)('serves again within 2 s of the end, seed %d', (seed) => {
    const world = createWorld(seed);
    world.evacuate('d0');
    world.run(10_000);
    expect(countOpen(world, ['d0'])).toBe(0);
    world.endEvacuation('d0');
    world.run(2000);
    expect(countOpen(world, ['d0'])).toBeGreaterThan(0);
    expect(world.violations).toEqual([]);
  });

  // Guards against evacuated groups that come back because their engines, restarted after the loss of the domain, form groups again.
  it.each(seeds)(
    'stays empty if it is lost in the middle and its engines return, seed %d',
    (seed) => {
      const world = createWorld(seed);
      world.evacuate('d0');
      world.run(1000);
      const lost = killAll(world, 'd0');
      world.run(2000);
      lost.forEach((host) => {
        world.restartEngine(host);
      });
      for (let step = 0; step < 60; step += 1) {
        world.run(100);
        expect(countOpen(world, ['d0'])).toBe(0);
      }
      expect(world.violations).toEqual([]);
    },
  );

  // Guards against evacuated groups that return when another domain is lost and their model lacks capacity.
  it.each(seeds)('stays empty if another domain is lost in the middle, seed %d', (seed) => {
    const world = createWorld(seed);
    world.evacuate('d0');
    world.run(1000);
    killAll(world, 'd1');
    world.run(evacuationTime - 1000);
    for (let step = 0; step < 60; step += 1) {
      world.run(100);
      expect(countOpen(world, ['d0'])).toBe(0);
    }
    expect(countOpen(world, ['d2'])).toBeGreaterThan(0);
    expect(world.violations).toEqual([]);
  });

  // Guards against an evacuation that a new leader, which has no reports of engines, forgets or starts over.
  it.each(seeds)('serves nothing after 4.3 s with a new leader in between, seed %d', (seed) => {
    const world = createWorld(seed);
    world.evacuate('d0');
    world.run(1000);
    world.changeLeader();
    world.run(evacuationTime - 1000);
    expect(countOpen(world, ['d0'])).toBe(0);
    expect(countOpen(world, ['d1', 'd2'])).toBeGreaterThan(0);
    expect(world.violations).toEqual([]);
  });
});
