import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { groupByGateway, runStreamLoad } from '../platform/stream-load.js';
import type { ReceivedRequest } from '../platform/test-engine.js';
import { waitFor } from '../support/index.js';

const gatewayCount = 2;
const pauseSeconds = 2;
/** Time after a rejection from which the pause must be kept, in milliseconds. */
const reactionTime = 500;
/** Most requests from one gateway in the rest of a pause. */
const maximumInPause = 2;

let deployment: PlatformDeployment;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(4, gatewayCount);
  await deployment.applyManifest(5);
  await waitFor('two open groups', () => deployment.findHeads().length === 2);
});

afterAll(async () => {
  await deployment.stop();
});

/** For each pause that one gateway was asked for, the number of requests from it in that pause. */
function countInPauses(requests: readonly ReceivedRequest[]): readonly number[] {
  return requests.flatMap(({ at, pause }) => {
    return pause === undefined
      ? []
      : requests.filter((other) => other.at > at + reactionTime && other.at < at + pause).length;
  });
}

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
    const counts = groupByGateway(paused).flatMap(countInPauses);
    expect(counts.length).toBeGreaterThan(0);
    expect(Math.max(...counts)).toBeLessThanOrEqual(maximumInPause);
    expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
    paused.retryAfter = undefined;
    const before = paused.runs.length;
    await runStreamLoad(deployment, { ...load, name: 'after', duration: 3000 });
    expect(paused.runs.length).toBeGreaterThan(before);
  });
});
