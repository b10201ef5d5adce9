import { setTimeout as sleep } from 'node:timers/promises';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { crashingContent } from '../platform/test-engine.js';
import { waitFor } from '../support/index.js';

const gatewayCount = 3;
/** Crashes after which the request must be quarantined. */
const crashThreshold = 3;
/** Most further crashes that are accepted until the quarantine reaches every gateway. */
const maximumLateCrashes = 3;
const callerAttempts = 14;
/** Pause in milliseconds before the request is repeated. */
const repeatDelay = 3000;

let deployment: PlatformDeployment;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(6, gatewayCount);
  await waitFor('the first manifest', async () => {
    const text = deployment.manifest(5);
    return (await deployment.callControl(0, 'POST', '/Config.Put', text)).status === 200;
  });
});

afterAll(async () => {
  await deployment.stop();
});

function findHeads() {
  return deployment.engines.filter((engine) => engine.isOpen);
}

function listCrashes(): readonly string[] {
  return deployment.engines.flatMap(({ crashes }) => crashes);
}

/** Guards against a request that crashes engine after engine while its caller retries it through different gateways. */
describe('a request that crashes the engine that runs it', () => {
  it('is not sent again through any gateway once three engines have crashed under it', async () => {
    const body = JSON.stringify({ ask: crashingContent });
    for (let attempt = 0; attempt < callerAttempts; attempt += 1) {
      await waitFor('two open groups', () => findHeads().length >= 2);
      const gateway = attempt % gatewayCount;
      await waitFor('an answer of the gateway', async () => {
        const { status } = await deployment.stream(`bad-${attempt}`, { gateway, body });
        return status !== 0 && status !== 503;
      });
    }
    expect(listCrashes().length).toBeGreaterThanOrEqual(crashThreshold);
    expect(listCrashes().length).toBeLessThanOrEqual(crashThreshold + maximumLateCrashes);
  });

  it('is not sent by a gateway that starts later, when it is repeated after a pause, and leaves other requests of its caller served', async () => {
    const before = listCrashes().length;
    await deployment.startGateway();
    const gateway = gatewayCount;
    await waitFor('the new gateway to serve', async () => {
      return (await deployment.stream('good', { gateway })).status === 200;
    });
    await sleep(repeatDelay);
    const body = JSON.stringify({ ask: crashingContent });
    const { status } = await deployment.stream('bad-later', { gateway, body });
    expect(status).toBe(502);
    expect(listCrashes().length).toBe(before);
  });
});
