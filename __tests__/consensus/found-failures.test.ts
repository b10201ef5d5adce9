import { describe, expect, it } from 'vitest';

import { runSchedule, type Step } from './simulation/schedule.js';

/** Schedules that once violated an invariant, as shrunk by fast-check. */
describe('failures found', () => {
  // Guards against two logs with different first entries and the same voters. Host c is wiped and promises to join a cluster
  // formation, and the existing log admits it; then a and b are wiped and promise as well. The coordinator counted promises
  // of hosts that were blank one after the other, while the log continued on the remaining hosts.
  it('forms no second log from hosts that were wiped one after the other', () => {
    const steps: readonly Step[] = [
      { type: 'run', milliseconds: 2500 },
      { type: 'resign', host: 0 },
      { type: 'wipe', host: 2 },
      { type: 'run', milliseconds: 376 },
      { type: 'wipe', host: 0 },
      { type: 'run', milliseconds: 501 },
      { type: 'wipe', host: 1 },
      { type: 'run', milliseconds: 376 },
      { type: 'deliver', position: 0 },
      { type: 'start', host: 0 },
      { type: 'crash', host: 0, kept: 0, keepsHardState: false },
      { type: 'advance', milliseconds: 0 },
      { type: 'deliver', position: 0 },
      { type: 'deliver', position: 0 },
      { type: 'drop', position: 0 },
      { type: 'start', host: 0 },
    ];
    const run = () => runSchedule({ options: { size: 3, seed: 0, mutation: 'none' }, steps });
    expect(run).not.toThrow();
  });
});
