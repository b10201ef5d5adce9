import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { createScheduleArbitrary, runSchedule } from './simulation/schedule.js';
import { SimulatedCluster } from './simulation/simulated-cluster.js';

const seed = 20_261_202;
const firstElectionTimeoutFraction = 0.3;

function restartAll(cluster: SimulatedCluster): void {
  cluster.run(4000);
  cluster.hosts.forEach((host) => {
    cluster.crash(host, 0, true);
  });
  cluster.hosts.forEach((host) => {
    cluster.start(host);
  });
}

describe('control hosts that were all restarted', () => {
  /**
   * Guards against callers being refused for half a second longer than control needs to start after all processes were
   * killed. All control hosts start within a tenth of a second and wait for a leader that cannot exist. The first election
   * timeout was as long as the one after a leader has gone silent.
   */
  it.each([1, 2, 3, 4, 5])('have a leader soon (seed %i)', (clusterSeed) => {
    const options = {
      size: 3,
      seed: clusterSeed,
      mutation: 'none',
      firstElectionTimeoutFraction,
    } as const;
    const cluster = new SimulatedCluster(options);
    restartAll(cluster);
    cluster.run(1125);
    expect(cluster.leader).toBeDefined();
  });

  it('violate no invariant of the log with the shorter first election timeout', () => {
    fc.assert(
      fc.property(createScheduleArbitrary('none'), ({ options, steps }) => {
        runSchedule({
          options: { ...options, firstElectionTimeoutFraction: firstElectionTimeoutFraction },
          steps,
        });
      }),
      { numRuns: 2000, seed },
    );
    expect(seed).toBeGreaterThan(0);
  });
});
