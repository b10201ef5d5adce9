import { describe, expect, it } from 'vitest';

import { createRandomSource, type RandomSource } from '../../src/common/index.js';
import { RoutingWorld } from './routing-world.js';

/** Histories for each run of the tests; more by hand with the variable. */
const histories = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? '30');
const faultsInHistory = 25;
/** Gateways serve keys this long after control last vouched for what they have in force. */
const vouchLimit = 2500;
/** A key that was taken away may work for this long. */
const revocationLimit = 5000;
/** A change has to be in force after this time where nothing is disturbed. */
const applyLimit = 2000;
/** A slow link takes this long for a message. */
const slowest = 400;

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
  const item = items[random.integerBelow(items.length)];
  if (item === undefined) {
    throw new Error('nothing to pick from');
  }
  return item;
}

function strike(world: RoutingWorld, random: RandomSource): void {
  const control = pick(random, world.controls);
  const gateway = pick(random, world.gateways);
  switch (random.integerBelow(9)) {
    case 0:
      control.isDown = true;
      return;
    case 1:
    case 2:
      world.restartControl(control);
      return;
    case 3:
      control.isCut = !control.isCut;
      return;
    case 4:
      control.pace = 1 - control.pace > 0 ? 10 : random.integerBelow(2);
      return;
    case 5:
      world.restartGateway(gateway);
      return;
    case 6:
      gateway.isCut = !gateway.isCut;
      return;
    default:
      gateway.delay = gateway.delay > 1 ? 1 : random.integerBelow(slowest);
  }
}

/** Whoever is vouched for has at least what was accepted before the limit, so that keys taken away then do not work. */
function checkVouched(world: RoutingWorld): void {
  for (const { keeper, version } of world.gateways) {
    const { vouchedAt, isSynchronized } = keeper.read();
    const isVouched = isSynchronized && world.now - (vouchedAt ?? -vouchLimit) < vouchLimit;
    const owed = world.versionBefore(revocationLimit);
    if (isVouched && version < owed) {
      world.violations.push(`vouched for ${version}, ${owed} was accepted 5 s before`);
    }
  }
}

function heal(world: RoutingWorld): void {
  world.controls.forEach((control) => {
    control.isCut = false;
    control.pace = 10;
    if (control.isDown) {
      world.restartControl(control);
    }
  });
  world.gateways.forEach((gateway) => {
    gateway.isCut = false;
    gateway.delay = 1;
  });
}

async function playHistory(seed: number, vouchesAlways = false): Promise<RoutingWorld> {
  const random = createRandomSource(seed);
  const world = new RoutingWorld(random, 5, 8);
  world.vouchesAlways = vouchesAlways;
  world.accept();
  await world.run(3000);
  for (let fault = 0; fault < faultsInHistory; fault += 1) {
    strike(world, random);
    for (let change = random.integerBelow(4); change > 0; change -= 1) {
      world.accept();
      await world.run(50 * (1 + random.integerBelow(8)));
      checkVouched(world);
    }
    await world.run(50 * random.integerBelow(20));
    checkVouched(world);
  }
  return world;
}

/**
 * What could go wrong: a change that was acknowledged is not in force in time, or a gateway goes back to an older one, because it follows a
 * control host that restarted, lags or is cut off, or because it reads behind a slow link what newer changes have replaced.
 */
describe('configuration at gateways, under lost and lagging control hosts, cuts and slow links', () => {
  it('never goes back, and is vouched for only while it is new enough', async () => {
    for (let seed = 1; seed <= histories; seed += 1) {
      const { violations } = await playHistory(seed);
      expect({ seed, violations }).toEqual({ seed, violations: [] });
    }
  });

  it('is seen to go wrong where control hosts vouch for what is old', async () => {
    const found: string[] = [];
    for (let seed = 1; seed <= histories; seed += 1) {
      found.push(...(await playHistory(seed, true)).violations);
    }
    expect(found.join()).toContain('vouched for');
  });

  it('is in force everywhere in time once the faults end, with every route that was added', async () => {
    for (let seed = 1; seed <= histories; seed += 1) {
      const world = await playHistory(seed);
      heal(world);
      await world.run(4000);
      world.accept();
      await world.run(applyLimit);
      const { newestVersion } = world;
      const tables = world.gateways.map(({ keeper }) => keeper.read().table);
      for (let version = 1; version <= newestVersion; version += 1) {
        const found = tables.map((table) => table?.findRoute('desk.example', `/r-${version}/x`));
        const names = found.map((route) => route?.name);
        expect({ seed, names }).toEqual({ seed, names: names.map(() => `r-${version}`) });
      }
    }
  });
});
