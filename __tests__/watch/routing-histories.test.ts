import { describe, expect, it } from 'vitest';

import { createRandomSource, type RandomSource } from '../../src/common/index.js';
import { RoutingSimulation } from './routing-simulation.js';

/** Number of random histories per test; the environment variable overrides it for longer runs. */
const historyCount = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? '30');
const faultsPerHistory = 25;
/** Gateways accept keys for this long after a control host last confirmed their routing state. */
const confirmationLimit = 2500;
/** A revoked key may be accepted for this long. */
const revocationLimit = 5000;
/** Without faults, a change has to take effect within this time. */
const applyLimit = 2000;
/** Upper bound of the delay of a message on a slow link. */
const maximumLinkDelay = 400;

function pick<Item>(random: RandomSource, items: readonly Item[]): Item {
  const item = items[random.integerBelow(items.length)];
  if (item === undefined) {
    throw new Error('nothing to pick from');
  }
  return item;
}

function injectFault(simulation: RoutingSimulation, random: RandomSource): void {
  const control = pick(random, simulation.controls);
  const gateway = pick(random, simulation.gateways);
  switch (random.integerBelow(9)) {
    case 0:
      control.isDown = true;
      return;
    case 1:
    case 2:
      simulation.restartControl(control);
      return;
    case 3:
      control.isPartitioned = !control.isPartitioned;
      return;
    case 4:
      control.changesPerTick = 1 - control.changesPerTick > 0 ? 10 : random.integerBelow(2);
      return;
    case 5:
      simulation.restartGateway(gateway);
      return;
    case 6:
      gateway.isPartitioned = !gateway.isPartitioned;
      return;
    default:
      gateway.linkDelay = gateway.linkDelay > 1 ? 1 : random.integerBelow(maximumLinkDelay);
  }
}

/** A gateway with a confirmed state must have all changes accepted before the limit, so that keys revoked by then are rejected. */
function checkConfirmedVersions(simulation: RoutingSimulation): void {
  for (const { tracker, version } of simulation.gateways) {
    const { confirmedAt, isSynchronized } = tracker.read();
    const isConfirmed =
      isSynchronized && simulation.now - (confirmedAt ?? -confirmationLimit) < confirmationLimit;
    const requiredVersion = simulation.versionBefore(revocationLimit);
    if (isConfirmed && version < requiredVersion) {
      simulation.violations.push(
        `confirmed at version ${version}, but ${requiredVersion} was accepted 5 s before`,
      );
    }
  }
}

function removeFaults(simulation: RoutingSimulation): void {
  simulation.controls.forEach((control) => {
    control.isPartitioned = false;
    control.changesPerTick = 10;
    if (control.isDown) {
      simulation.restartControl(control);
    }
  });
  simulation.gateways.forEach((gateway) => {
    gateway.isPartitioned = false;
    gateway.linkDelay = 1;
  });
}

async function runHistory(seed: number, confirmsStaleState = false): Promise<RoutingSimulation> {
  const random = createRandomSource(seed);
  const simulation = new RoutingSimulation(random, 5, 8);
  simulation.confirmsStaleState = confirmsStaleState;
  simulation.accept();
  await simulation.run(3000);
  for (let fault = 0; fault < faultsPerHistory; fault += 1) {
    injectFault(simulation, random);
    for (let change = random.integerBelow(4); change > 0; change -= 1) {
      simulation.accept();
      await simulation.run(50 * (1 + random.integerBelow(8)));
      checkConfirmedVersions(simulation);
    }
    await simulation.run(50 * random.integerBelow(20));
    checkConfirmedVersions(simulation);
  }
  return simulation;
}

/**
 * Failures guarded against: an acknowledged change does not take effect in time, or a gateway reverts to an older one. Causes: the gateway
 * follows a control host that restarted, lags or is partitioned, or a slow link delivers messages that newer changes have superseded.
 */
describe('routing state of gateways, with failing and lagging control hosts, partitions and slow links', () => {
  it('never reverts, and is confirmed only while it is recent enough', async () => {
    for (let seed = 1; seed <= historyCount; seed += 1) {
      const { violations } = await runHistory(seed);
      expect({ seed, violations }).toEqual({ seed, violations: [] });
    }
  });

  it('fails this check when control hosts confirm outdated state', async () => {
    const found: string[] = [];
    for (let seed = 1; seed <= historyCount; seed += 1) {
      found.push(...(await runHistory(seed, true)).violations);
    }
    expect(found.join()).toContain('confirmed at version');
  });

  it('reaches all gateways in time once the faults end, with every route that was added', async () => {
    for (let seed = 1; seed <= historyCount; seed += 1) {
      const simulation = await runHistory(seed);
      removeFaults(simulation);
      await simulation.run(4000);
      simulation.accept();
      await simulation.run(applyLimit);
      const { newestVersion } = simulation;
      const tables = simulation.gateways.map(({ tracker }) => tracker.read().table);
      for (let version = 1; version <= newestVersion; version += 1) {
        const found = tables.map((table) => table?.findRoute('desk.example', `/r-${version}/x`));
        const names = found.map((route) => route?.name);
        expect({ seed, names }).toEqual({ seed, names: names.map(() => `r-${version}`) });
      }
    }
  });
});
