import { afterEach, describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import { PlatformDeployment } from '../platform/deployment.js';
import { SegmentLoad, type SoundOutcome } from '../platform/segment-load.js';
import { waitFor } from '../support/index.js';

const gateways = [0, 1, 2];
const engineCount = 8;
/** Crashes after which the segment must be held back everywhere. */
const crashLimit = 5;
/** Time in milliseconds in which every gateway must learn of the last of these crashes. */
const propagationTime = 3000;
/** Most requests with the segment that may reach engines later than that. */
const maximumLateRequests = 3;
/** Least share of the sound requests that must be served once the segment is held back. */
const minimumServedShare = 0.5;
const loadDuration = 12_000;
const rates = { sound: 12, crashing: 5 };

let deployment: PlatformDeployment | undefined;

/** Runs the operators' command line against the first control host and returns what it prints. */
async function runCommandLine(...parameters: readonly string[]): Promise<string> {
  const line = ['--control', deployment?.controlAddress(0) ?? '', ...parameters];
  const result = await deployment?.group.run('pistachiospoke', line);
  return result?.output ?? '';
}

afterEach(async () => {
  await deployment?.stop();
});

async function startLoad(seed: number, crashingSegments: readonly string[]): Promise<SegmentLoad> {
  const running = await PlatformDeployment.start(engineCount, gateways.length);
  deployment = running;
  await running.waitForGroups(2);
  return new SegmentLoad({
    deployment: running,
    random: createRandomSource(seed),
    gateways,
    crashingSegments,
  });
}

/** The fifth crash, or the last if there are fewer. */
function findLimitTime(load: SegmentLoad): number {
  const times = load.listCrashTimes();
  return times[crashLimit - 1] ?? times.at(-1) ?? Number.POSITIVE_INFINITY;
}

function measureServedShare(outcomes: readonly SoundOutcome[], since: number): number {
  const later = outcomes.filter(({ at }) => at >= since);
  expect(later.length).toBeGreaterThan(0);
  return (
    later.filter(({ result }) => result.status === 200 && result.isWhole).length / later.length
  );
}

/** Guards against prompts that share one segment and crash one engine after the other, no two requests alike. */
describe('a prompt segment that crashes the engine that answers it', () => {
  it('is not sent any more after five crashes, while other requests of the same caller are served', async () => {
    const load = await startLoad(1, ['bad1']);
    const outcomes = await load.run(loadDuration, rates);
    const limit = findLimitTime(load);
    expect(load.countCrashingAfter(limit + propagationTime)).toBeLessThanOrEqual(
      maximumLateRequests,
    );
    expect(measureServedShare(outcomes, limit + 2 * propagationTime)).toBeGreaterThanOrEqual(
      minimumServedShare,
    );
  });

  it('is not sent any more after restarts of all control hosts and a gateway, with two such segments', async () => {
    const segments = ['bad1', 'bad2'];
    const load = await startLoad(2, segments);
    await load.run(8000, rates);
    await load.run(1000, { ...rates, crashing: 0 });
    const before = performance.now();
    for (const index of [0, 1, 2]) {
      deployment?.killControl(index);
      deployment?.restartControl(index);
    }
    deployment?.gatewayProgram(0).signal('SIGKILL');
    await deployment?.gatewayProgram(0).waitForExit();
    deployment?.restartGateway(0);
    await waitFor('a sound answer through each gateway', async () => {
      const answers = await Promise.all(gateways.map((gateway) => load.sendSound(gateway)));
      return answers.every(({ status }) => status === 200);
    });
    await load.run(4000, rates);
    expect(load.countCrashingAfter(before)).toBeLessThanOrEqual(
      maximumLateRequests * segments.length,
    );
  });

  it('is shown to operators, who can end its quarantine', async () => {
    const load = await startLoad(3, ['bad1']);
    await load.run(6000, rates);
    const listed = await runCommandLine('quarantines');
    const [subject = ''] = /segment\/engines\/bad1/.exec(listed) ?? [];
    expect(listed).toMatch(/segment\/engines\/bad1 .*i-\d/);
    expect((await load.sendCrashing()).status).toBe(502);
    load.cure();
    expect(await runCommandLine('release', subject)).toContain('is released');
    await waitFor('an answer to a request with the segment', async () => {
      return (await load.sendCrashing()).status === 200;
    });
  });
});
