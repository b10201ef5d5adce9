import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { runStreamLoad } from '../platform/stream-load.js';
import { waitFor } from '../support/index.js';

const gatewayCount = 2;
const controlHosts = [0, 1, 2] as const;

let deployment: PlatformDeployment;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(4, 0);
  for (let index = 0; index < gatewayCount; index += 1) {
    await deployment.startGateway(['pressure']);
  }
  await deployment.waitForGroups(2);
});

afterAll(async () => {
  await deployment.stop();
});

function haveSource(source: string): boolean {
  return Array.from({ length: gatewayCount }, (_, index) => index).every((index) => {
    const lines = deployment.gatewayProgram(index).output.split('\n');
    const last = lines.findLast((line) => line.includes('source of the fairness among accounts'));
    return last?.includes(`"source":"${source}"`) ?? false;
  });
}

describe('gateways of a deployment whose callers compete for capacity', () => {
  /** Guards against fairness by what each gateway observes itself although control is heard: shares are not exchanged. */
  it('learn from control which part of the work of accounts is theirs', async () => {
    const load = { gatewayCount, interval: 50, duration: 3000 };
    const answers = await runStreamLoad(deployment, { ...load, name: 'first' });
    expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
    await waitFor('shares from control', () => haveSource('control'));
  });

  /** Guards against shares that stay in force for good when control is lost. */
  it('go by what they observe themselves when control is not heard', async () => {
    controlHosts.forEach((index) => {
      deployment.killControl(index);
    });
    await waitFor('fairness without control', () => haveSource('this gateway'));
  });
});
