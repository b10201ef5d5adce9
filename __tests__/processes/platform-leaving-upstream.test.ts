import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { listLate } from '../platform/received-requests.js';
import { groupByGateway, runStreamLoad } from '../platform/stream-load.js';

const gatewayCount = 2;

let deployment: PlatformDeployment;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(4, gatewayCount);
  await deployment.waitForGroups(2);
});

afterAll(async () => {
  await deployment.stop();
});

/** Guards against gateways that keep sending requests to an engine whose responses say that it is leaving, before control knows it. */
describe('an engine that says in its responses that it is leaving', () => {
  it('gets no requests from a gateway that was told, while other engines serve the callers', async () => {
    const [leaving] = deployment.findHeads();
    if (leaving === undefined) {
      throw new Error('there is no head');
    }
    leaving.isLeaving = true;
    const load = { gatewayCount, interval: 70, duration: 5000 };
    const answers = await runStreamLoad(deployment, { ...load, name: 'leaving' });
    const requests = groupByGateway(leaving);
    expect(requests.length).toBeGreaterThan(0);
    expect(requests.flatMap(listLate)).toEqual([]);
    expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
  });
});
