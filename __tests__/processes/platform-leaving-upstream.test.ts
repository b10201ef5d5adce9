import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { groupByGateway, runStreamLoad } from '../platform/stream-load.js';
import type { ReceivedRequest } from '../platform/test-engine.js';
import { waitFor } from '../support/index.js';

const gatewayCount = 2;
/** Time after a response that says that the engine is leaving for which requests may still arrive, in milliseconds. */
const drainTime = 2000;

let deployment: PlatformDeployment;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(4, gatewayCount);
  await deployment.applyManifest(5);
  await waitFor('two open groups', () => deployment.findHeads().length === 2);
});

afterAll(async () => {
  await deployment.stop();
});

/** The requests of one gateway that arrived too late after the first response that said so. */
function findLate(requests: readonly ReceivedRequest[]): readonly ReceivedRequest[] {
  const first = requests.find(({ isLeaving }) => isLeaving);
  return first === undefined ? [] : requests.filter(({ at }) => at > first.at + drainTime);
}

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
    expect(requests.flatMap(findLate)).toEqual([]);
    expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
  });
});
