import { monitorEventLoopDelay } from 'node:perf_hooks';
import { setTimeout as pause } from 'node:timers/promises';

import { afterEach, describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import { PlatformDeployment } from '../platform/deployment.js';
import { ProcessLives } from '../platform/soak/process-lives.js';
import { SoakCallers } from '../platform/soak/soak-callers.js';
import { SoakFaults } from '../platform/soak/soak-faults.js';
import { countOutcomes, describeOutcome, findFaults } from '../platform/soak/soak-judge.js';
import {
  grace,
  initialGroups,
  readSoakSettings,
  recoveryTime,
} from '../platform/soak/soak-settings.js';

const { seeds, gatewayCount, engineCount, callerCount, duration, meanFaultInterval } =
  readSoakSettings();

const nanosecondsPerMillisecond = 1e6;

let deployment: PlatformDeployment | undefined;

afterEach(async () => {
  await deployment?.stop();
});

/**
 * Guards against upstreams that get requests in the pause they asked for or after they said that they are leaving, and against callers
 * that lose answers or stay refused, while pauses, departures, restarts, signals and changes overlap.
 */
describe('a deployment whose upstreams pause and leave while its processes are stopped, killed and frozen', () => {
  it.each(seeds)(
    'sends them nothing in pauses and after departures, seed %i',
    async (seed) => {
      const random = createRandomSource(seed);
      const lives = new ProcessLives(gatewayCount);
      const running = await PlatformDeployment.start(engineCount, gatewayCount, grace);
      deployment = running;
      await running.waitForGroups(initialGroups);
      const stalls = monitorEventLoopDelay();
      stalls.enable();
      const callers = new SoakCallers(running, lives, random, callerCount);
      const faults = new SoakFaults({ deployment: running, lives, random });
      await faults.run(duration, meanFaultInterval);
      await pause(recoveryTime);
      const calmSince = performance.now();
      await pause(recoveryTime / 4);
      await callers.stop();
      const { engines } = running;
      const { results } = callers;
      const outcomes = countOutcomes(results);
      // The engines and callers share this process; where it stalls, their times of arrival are late.
      const longestStall = Math.round(stalls.max / nanosecondsPerMillisecond);
      console.log(JSON.stringify({ seed, outcomes, faults: faults.log.length, longestStall }));
      expect(findFaults({ engines, lives, results }), faults.log.join('\n')).toEqual([]);
      const last = results.filter(({ startedAt }) => startedAt >= calmSince).map(describeOutcome);
      expect(last.length).toBeGreaterThan(0);
      expect(new Set(last), faults.log.join('\n')).toEqual(new Set(['200']));
    },
    120_000 + 2 * duration,
  );
});
