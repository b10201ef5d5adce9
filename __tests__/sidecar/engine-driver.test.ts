import { setTimeout as sleep } from 'node:timers/promises';

import { pino } from 'pino';
import { Registry } from 'prom-client';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { createEngineClient } from '../../platform/engine-client.js';
import { systemClock } from '../../src/common/index.js';
import type { EngineGroup } from '../../src/routing/index.js';
import { DriverMetrics, EngineDriver } from '../../src/sidecar/index.js';
import { TestEngine } from '../platform/test-engine.js';
import { reservePort, waitFor } from '../support/index.js';

let engine: TestEngine;
let driver: EngineDriver;

beforeEach(async () => {
  engine = new TestEngine('i-1', '127.0.0.1', await reservePort());
  await engine.open();
  driver = new EngineDriver({
    host: 'head',
    port: createEngineClient(engine.address),
    clock: systemClock,
    logger: pino({ level: 'silent' }),
    metrics: new DriverMetrics(new Registry()),
    onReading: () => undefined,
  });
  driver.open();
});

afterEach(async () => {
  await driver.close();
  await engine.crash();
});

function createGroup(fencingNumber: number, phase: EngineGroup['phase']): EngineGroup {
  return {
    name: `small/${fencingNumber}`,
    fencingNumber,
    service: 'engines',
    model: 'small',
    members: [{ host: 'head', instance: { id: 'i-1' }, address: engine.address }],
    phase,
  };
}

function waitForState(state: string | undefined): Promise<boolean> {
  return waitFor(`the engine to be ${state ?? 'in no group'}`, () => {
    const { reading } = driver;
    return reading !== undefined && reading.membership?.state === state;
  });
}

// Guards against one engine in two groups: orders that an engine executes seconds late put it back into a group that it has left, and open
// that group, while the rest of the group's engines are placed elsewhere.
describe('orders that an engine executes late', () => {
  it('do not put it back into a group that it has left', async () => {
    engine.ordersToHold = 1;
    driver.assignGroup(createGroup(1, 'joining'));
    await waitForState('ready');
    engine.ordersToHold = 1;
    driver.assignGroup(createGroup(1, 'opening'));
    await waitForState('open');
    driver.assignGroup(createGroup(1, 'closing'));
    await waitForState(undefined);
    await engine.executeHeldOrders();
    expect(engine.isOpen).toBe(false);
    expect(engine.peers).toEqual([]);
    driver.assignGroup(createGroup(2, 'joining'));
    await waitForState('ready');
    expect(engine.joinsWhileOpen).toEqual([]);
  });

  it('do not change a group that was opened since', async () => {
    engine.ordersToHold = 1;
    driver.assignGroup(createGroup(1, 'joining'));
    await waitForState('ready');
    driver.assignGroup(createGroup(1, 'opening'));
    await waitForState('open');
    driver.assignGroup(createGroup(1, 'open'));
    await engine.executeHeldOrders();
    await sleep(100);
    expect(engine.isOpen).toBe(true);
  });
});
