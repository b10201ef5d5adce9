import { setTimeout as pause } from 'node:timers/promises';

import { afterEach, describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import { PlatformDeployment } from '../platform/deployment.js';
import { listCrashedStarts, listCrashTimes } from '../platform/received-requests.js';
import { ProcessLives } from '../platform/soak/process-lives.js';
import { idSeparator, SoakCallers } from '../platform/soak/soak-callers.js';
import { SoakFaults } from '../platform/soak/soak-faults.js';
import { countOutcomes, describeOutcome, findFaults } from '../platform/soak/soak-judge.js';
import {
  grace,
  initialGroups,
  readSoakSettings,
  recoveryTime,
} from '../platform/soak/soak-settings.js';

const { seeds, gatewayCount, engineCount, callerCount, duration, meanFaultInterval } =
  readSoakSettings({ engineCount: 10 });

const crashingSegments = ['bad1', 'bad2'];
/** Share of the requests that hold one of them. */
const crashingShare = 0.06;
/** Crashes after which the segments must be held back everywhere, and the time that this may take in milliseconds. */
const crashLimit = 5 * crashingSegments.length;
const propagationTime = 3000;
/** Least share of the sound requests that must not be rejected for the segments, later than twice that time. */
const minimumAcceptedShare = 0.5;
/** Most requests with each segment that may reach engines later than that. */
const maximumLateRequests = 3;

/** Name of the result code of a request that is rejected for one of its segments. */
const rejection = 'requestQuarantined';

let deployment: PlatformDeployment | undefined;

afterEach(async () => {
  await deployment?.stop();
});

/**
 * Guards against segments that crash engine after engine, and against sound requests that are rejected for them, while pauses, departures,
 * restarts, signals and changes overlap.
 */
describe('a deployment with crashing segments whose processes are stopped, killed and frozen', () => {
  it.each(seeds)(
    'holds back these segments and nothing else, seed %i',
    async (seed) => {
      const random = createRandomSource(seed);
      const lives = new ProcessLives(gatewayCount);
      const running = await PlatformDeployment.start(engineCount, gatewayCount, grace);
      deployment = running;
      const { engines } = running;
      for (const engine of engines) {
        crashingSegments.forEach((segment) => engine.crashingSegments.add(segment));
      }
      await running.waitForGroups(initialGroups);
      const crashing = new Set<string>();
      const callers = new SoakCallers(running, lives, random, callerCount, (id) => {
        const own = [`document-${random.integerBelow(4)}`, id.replaceAll(idSeparator, '-')];
        const isCrashing = random.fraction() < crashingShare;
        if (isCrashing) {
          crashing.add(id);
          own.unshift(crashingSegments[random.integerBelow(crashingSegments.length)] ?? '');
        }
        return { 'x-prefix-hash': ['common', ...own].map((segment) => `${segment}:40`).join() };
      });
      const faults = new SoakFaults({ deployment: running, lives, random });
      await faults.run(duration, meanFaultInterval);
      await pause(recoveryTime);
      const calmSince = performance.now();
      await pause(recoveryTime / 4);
      await callers.stop();

      const results = callers.results.filter(({ id }) => !crashing.has(id));
      const crashTimes = listCrashTimes(engines);
      const limit = (crashTimes[crashLimit - 1] ?? Number.POSITIVE_INFINITY) + propagationTime;
      // A gateway that was frozen or started just before has not been in touch with control for long enough.
      const late = engines
        .flatMap(({ received }) => received)
        .filter(({ id, at }) => crashing.has(id) && at > limit)
        .filter(({ id, at }) => {
          const life = id.split(idSeparator)[0] ?? '';
          const since = at - propagationTime;
          return lives.find(life).startedAt < since && !lives.wasFrozen(life, since, at);
        });
      const outcomes = countOutcomes(results);
      console.log(
        JSON.stringify({ seed, outcomes, crashes: crashTimes.length, late: late.length }),
      );
      expect(crashTimes.length).toBeGreaterThan(0);
      expect(late.length, faults.log.join('\n')).toBeLessThanOrEqual(
        maximumLateRequests * crashingSegments.length,
      );
      const settledAt =
        (crashTimes[crashLimit - 1] ?? crashTimes.at(-1) ?? 0) + 2 * propagationTime;
      const settled = results.filter(({ startedAt }) => startedAt >= settledAt);
      const accepted = settled.filter((result) => !describeOutcome(result).includes(rejection));
      expect(accepted.length, faults.log.join('\n')).toBeGreaterThanOrEqual(
        minimumAcceptedShare * settled.length,
      );
      // An answer that breaks off with its engine is not lost by the gateway that stops.
      const starts = listCrashedStarts(engines);
      const interrupted = new Set(
        engines
          .flatMap(({ received }) => received)
          .filter(({ engine }) => starts.has(engine))
          .map(({ id }) => id),
      );
      const judged = results.filter(({ id, isWhole }) => isWhole || !interrupted.has(id));
      expect(findFaults({ engines, lives, results: judged }), faults.log.join('\n')).toEqual([]);
      const last = results.filter(({ startedAt }) => startedAt >= calmSince).map(describeOutcome);
      expect(last.length).toBeGreaterThan(0);
      expect(new Set(last), faults.log.join('\n')).toEqual(new Set(['200']));
    },
    120_000 + 2 * duration,
  );
});
