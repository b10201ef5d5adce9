import { setTimeout as pause } from 'node:timers/promises';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { waitFor } from '../support/index.js';

const gatewayCount = 3;
/** Requests per second that a cold head is declared to tolerate. */
const declared = 4;
const bounds = { overrun: 1.5, slack: 5 };
const mostPerSecond = declared * bounds.overrun + bounds.slack;
const loadDuration = 8000;
/** Interval of requests, each of which a head would take at once if it were warm. */
const requestInterval = 25;

let deployment: PlatformDeployment;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(4, gatewayCount, 1000, undefined, {
    coldUpstreams: bounds,
  });
  await waitFor('the first manifest', async () => {
    const text = deployment.manifest(5, { cold_s: 600, cold_per_s: declared });
    return (await deployment.callControl(0, 'POST', '/Config.Put', text)).status === 200;
  });
  await waitFor('two open groups', () => deployment.findHeads().length === 2);
});

afterAll(async () => {
  await deployment.stop();
});

function findMostPerSecond(arrivals: readonly number[]): number {
  const counts = arrivals.map((from) => {
    return arrivals.filter((at) => at >= from && at < from + 1000).length;
  });
  return Math.max(0, ...counts);
}

/** Guards against rates that are lost between gateways and the leader: heads that start get everything, or nothing at all. */
describe('heads that are cold', () => {
  it('get no more than declared from all gateways, whether one or all of them have callers', async () => {
    const begin = performance.now();
    const pending: Promise<unknown>[] = [];
    for (let count = 0; performance.now() < begin + loadDuration; count += 1) {
      const isSpread = performance.now() >= begin + loadDuration / 2;
      const gateway = isSpread ? count % gatewayCount : 0;
      pending.push(deployment.stream(`load-${count}`, { gateway }));
      await pause(requestInterval);
    }
    await Promise.all(pending);
    for (const { arrivals } of deployment.findHeads()) {
      expect(findMostPerSecond(arrivals)).toBeLessThanOrEqual(mostPerSecond);
      expect(arrivals.length).toBeGreaterThan((0.4 * declared * loadDuration) / 1000);
    }
  });
});
