import { setTimeout as pause } from 'node:timers/promises';

import { afterEach, describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import { readSoakSettings, recoveryTime } from '../platform/soak/soak-settings.js';
import { countEndings } from '../platform/soak/stop-judge.js';
import { StopSoak } from '../platform/soak/stop-soak.js';
import { countShedConnections, StreamJudge } from '../platform/soak/stream-judge.js';
import { drawStreamPlan } from '../platform/soak/stream-plan.js';
import { StreamSpoiler } from '../platform/soak/stream-spoiler.js';

const settings = readSoakSettings({ callerCount: 24, meanFaultInterval: 700 });
const { seeds, callerCount, duration, meanFaultInterval } = settings;

const pollInterval = 100;
/** Time without faults in which all requests are judged, and that in which each caller must be served, in milliseconds. */
const calmTime = 4000;
const longestCalm = 20_000;
/** Distinguishes the random numbers of streams, whose order depends on time, from those of faults and callers. */
const streamSeedOffset = 2_000_000;

let soak: StopSoak | undefined;

afterEach(async () => {
  await soak?.close();
  soak = undefined;
});

/**
 * Guards against stream events that no run made, and against events that are lost or come twice, when upstreams spoil their streams while
 * stops, kills, freezes and changes overlap and callers resume what broke.
 */
describe('a deployment whose upstreams spoil streams while its processes are stopped, killed and frozen', () => {
  it.each(seeds)(
    'passes on the sound events of each stream and nothing else, seed %i',
    async (seed) => {
      const running = await StopSoak.start({ settings, seed, label: 'spoiled-stream' });
      soak = running;
      await running.waitUntilServing();
      const { deployment, service } = running;
      const spoiler = new StreamSpoiler(createRandomSource(seed + streamSeedOffset));
      for (const upstream of service.upstreams) {
        upstream.handle = spoiler.answer;
      }
      for (const engine of deployment.engines) {
        engine.writeStream = spoiler.writeStream;
      }

      const load = running.startLoad(drawStreamPlan);
      const { processes, callers, faults } = load;
      await faults.run(duration, meanFaultInterval);
      spoiler.stop();
      running.note('no more faults');
      await pause(recoveryTime);
      const judge = new StreamJudge(callers.exchanges, spoiler, processes.gateway.lives);
      const from = performance.now();
      await pause(calmTime);
      const findIdleCallers = (): readonly string[] =>
        judge.findIdleCallers({ from, until: performance.now() }, callerCount);
      while (findIdleCallers().length > 0 && performance.now() < from + longestCalm) {
        await pause(pollInterval);
      }
      const idle = findIdleCallers();
      const calm = { from, until: performance.now() };
      const ended = await running.stopLoad(load);

      const shedCount = countShedConnections(deployment.group.programs);
      const unserved = judge.findUnserved(calm, shedCount);
      const { exchanges, refusedConnections } = callers;
      const counts = {
        requests: exchanges.length,
        endings: countEndings(exchanges),
        refusedConnections,
        shedCount,
        spoiled: spoiler.spoiled.length,
        faulty: spoiler.faulty.length,
        continuedUnseen: judge.continuedUnseen,
        resumedByCallers: judge.resumedByCallers,
      };
      const found = [...ended, ...judge.findWrongStreams(), ...unserved, ...idle];
      expect(found, await running.report(counts, found)).toEqual([]);
      expect(counts.spoiled).toBeGreaterThan(0);
      expect(counts.faulty).toBeGreaterThan(0);
      expect(counts.continuedUnseen).toBeGreaterThan(0);
      expect(counts.resumedByCallers).toBeGreaterThan(0);
    },
    120_000 + 3 * duration,
  );
});
