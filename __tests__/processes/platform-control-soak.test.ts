import { monitorEventLoopDelay } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import { RelayedControl } from '../platform/relayed-control.js';
import { ConfigurationLoad } from '../platform/soak/configuration-load.js';
import { ControlFaults } from '../platform/soak/control-faults.js';
import { readSoakSettings } from '../platform/soak/soak-settings.js';

const { seeds, duration, meanFaultInterval } = readSoakSettings();

/** Time in milliseconds after a fault of most control hosts until they answer as before. */
const contactLimit = 6000;
const readRounds = 8;
const readInterval = 250;
const largestManifest = 700;
const nanosecondsPerMillisecond = 1e6;
/** Spreads the sizes of the manifests over the seeds. */
const routeStep = 137;

let control: RelayedControl | undefined;
let heartbeats: AbortController | undefined;

afterEach(async () => {
  heartbeats?.abort();
  await control?.stop();
});

/** What each host answers, again and again; one that gives no sound answer is listed with it. */
async function readBack(load: ConfigurationLoad, hostCount: number): Promise<readonly string[]> {
  const failed: string[] = [];
  for (let round = 0; round < readRounds; round += 1) {
    for (let host = 0; host < hostCount; host += 1) {
      const outcome = await load.read(host);
      if (outcome.type === 'silence' || outcome.status !== 200) {
        failed.push(`round ${round}, host ${host}: ${JSON.stringify(outcome).slice(0, 200)}`);
      }
    }
    await sleep(readInterval);
  }
  return failed;
}

/**
 * Guards against a configuration that is lost, older or not read back, while control hosts are killed, stopped, frozen and cut off, open
 * connections go silent and, at last, a disk is lost while all hosts are killed.
 */
describe('control hosts that are killed, stopped, frozen and cut off', () => {
  it.each(seeds)(
    'give back the newest acknowledged configuration, seed %i',
    async (seed) => {
      const stalls = monitorEventLoopDelay();
      stalls.enable();
      const random = createRandomSource(seed);
      const running = await RelayedControl.start();
      control = running;
      heartbeats = new AbortController();
      void running.sendHeartbeats(heartbeats.signal);
      const routeCount = (seed * routeStep) % largestManifest;
      const load = new ConfigurationLoad({ control: running, random, routeCount });
      const faults = new ControlFaults({ control: running, random });
      await load.start();
      await faults.run(duration, meanFaultInterval);
      await faults.strikeFinally();
      await sleep(contactLimit);
      await load.stop();
      const failed = await readBack(load, running.hostCount);
      const { changeCount, readCount, newestAcknowledged } = load;
      const longestRelayStall = Math.round(await running.measureLongestRelayStall());
      const longestTestStall = Math.round(stalls.max / nanosecondsPerMillisecond);
      const counts = { changeCount, readCount, newestAcknowledged };
      console.log(
        JSON.stringify({ seed, routeCount, ...counts, longestRelayStall, longestTestStall }),
      );
      expect(load.faults, faults.log.join('\n')).toEqual([]);
      expect(failed, faults.log.join('\n')).toEqual([]);
      expect(changeCount).toBeGreaterThan(0);
    },
    120_000 + 2 * duration,
  );
});
