import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { waitFor } from '../support/index.js';

/** The answer of the engine comes after the sidecar has found the leader of control. */
const slowReport = 400;

let deployment: PlatformDeployment;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(4);
  await waitFor('the first manifest', async () => {
    const text = deployment.manifest(5);
    return (await deployment.callControl(0, 'POST', '/Config.Put', text)).status === 200;
  });
  await waitFor('two open groups', () => findHeads().length === 2);
});

afterAll(async () => {
  await deployment.stop();
});

function findHeads() {
  return deployment.engines.filter((engine) => engine.isOpen);
}

/**
 * An engine that served was ordered into a second group while it was open in its first one, because the sidecar beside it had started
 * again. The sidecar had found the leader of control before its engine answered for the first time, and its report without an engine was
 * taken for the end of the engine. The leader wrote, one after the other:
 *
 *     "advance":[{"name":"small/5","phase":"closing","reason":"a member was lost"}]
 *     "remove":[{"name":"small/5","reason":"the head is gone"}]
 */
describe('a sidecar that is killed and starts again beside the head of an open group', () => {
  it('keeps the group in place', async () => {
    const before = findHeads().map(({ id, peers }) => ({ id, peers }));
    for (const head of findHeads()) {
      head.reportDelay = slowReport;
      const sidecar = await deployment.restartSidecar(deployment.engines.indexOf(head));
      await sidecar.waitForOutput(/"msg":"membership changed"/);
      head.reportDelay = 0;
    }
    expect((await deployment.stream('r-after')).status).toBe(200);
    expect(deployment.engines.flatMap(({ joinsWhileOpen }) => joinsWhileOpen)).toEqual([]);
    expect(findHeads().map(({ id, peers }) => ({ id, peers }))).toEqual(before);
  });
});
