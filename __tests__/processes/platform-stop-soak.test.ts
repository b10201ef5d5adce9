import { setTimeout as pause } from 'node:timers/promises';

import { afterEach, describe, expect, it } from 'vitest';

import { createPlainAnswers } from '../platform/soak/plain-answers.js';
import { readSoakSettings } from '../platform/soak/soak-settings.js';
import { StallLog } from '../platform/soak/stall-log.js';
import { findWrongEnds, StopJudge } from '../platform/soak/stop-judge.js';
import { StopSoak } from '../platform/soak/stop-soak.js';
import type { Work } from '../platform/work.js';

const settings = readSoakSettings({ gatewayCount: 4, callerCount: 24, meanFaultInterval: 700 });
const { seeds, duration, meanFaultInterval } = settings;

/** Time without faults before all gateways stop at once, in milliseconds. */
const calmTime = 3000;

let soak: StopSoak | undefined;

afterEach(async () => {
  await soak?.close();
  soak = undefined;
});

/**
 * Guards against requests that a gateway has read and that end without a complete answer around its SIGTERM, and against processes that
 * end late or badly, while stops in series overlap with further signals, early signals, freezes, kills and changes.
 */
describe('a deployment whose processes are stopped in series that overlap', () => {
  it.each(seeds)(
    'loses no request and ends its processes in time, seed %i',
    async (seed) => {
      const running = await StopSoak.start({ settings, seed, label: 'stop' });
      soak = running;
      await running.waitUntilServing();
      const plainWork: Work[] = [];
      for (const upstream of running.service.upstreams) {
        upstream.handle = createPlainAnswers(plainWork);
      }

      const stalls = new StallLog();
      const load = running.startLoad();
      const { processes, callers, faults } = load;
      await faults.run(duration, meanFaultInterval);
      await pause(calmTime);
      const ended = await running.stopLoad(load);
      stalls.close();

      const { exchanges, refusedConnections } = callers;
      const work = [...plainWork, ...running.deployment.engines.flatMap((engine) => engine.work)];
      const judge = new StopJudge({ exchanges, gateways: processes.gateway.lives, work, stalls });
      const counts = {
        verdicts: judge.countVerdicts(),
        endings: judge.countEndings(),
        refusedConnections,
        acrossStops: judge.acrossStops,
        longestStall: Math.round(stalls.longest),
      };
      const wrongEnds = Object.entries(processes).flatMap(([kind, { lives }]) => {
        return findWrongEnds(kind, lives);
      });
      const found = [
        ...ended,
        ...wrongEnds,
        ...judge.findLostRequests(),
        ...judge.findWrongAnswers(),
      ];
      expect(found, await running.report(counts, found)).toEqual([]);
      expect(judge.acrossStops).toBeGreaterThan(0);
    },
    120_000 + 3 * duration,
  );
});
