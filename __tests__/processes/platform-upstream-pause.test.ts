import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { listPauses, maximumInPause } from '../platform/received-requests.js';
import { groupByGateway, runStreamLoad } from '../platform/stream-load.js';

const gatewayCount = 2;
const pauseSeconds = 2;

let deployment: PlatformDeployment;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(4, gatewayCount);
  await deployment.waitForGroups(2);
});

afterAll(async () => {
  await deployment.stop();
});

/** Guards against gateways that keep sending requests to an engine that has asked for a pause, and refuse callers whom others could serve. */
describe('an engine that rejects requests and asks for a pause', () => {
  it('gets none from a gateway until the pause is over, while other engines serve the callers', async () => {
    const [paused] = deployment.findHeads();
    if (paused === undefined) {
      throw new Error('there is no head');
    }
    paused.retryAfter = pauseSeconds;
    const load = { gatewayCount, interval: 70 };
    const answers = await runStreamLoad(deployment, { ...load, name: 'during', duration: 5000 });
    const counts = groupByGateway(paused)
      .flatMap(listPauses)
      .map(({ count }) => count);
    expect(counts.length).toBeGreaterThan(0);
    expect(Math.max(...counts)).toBeLessThanOrEqual(maximumInPause);
    expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
    paused.retryAfter = undefined;
    const before = paused.runs.length;
    await runStreamLoad(deployment, { ...load, name: 'after', duration: 3000 });
    expect(paused.runs.length).toBeGreaterThan(before);
  });
});
