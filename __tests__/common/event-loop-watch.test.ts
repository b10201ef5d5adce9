import { describe, expect, it } from 'vitest';

import { EventLoopWatch, type ProcessUsage } from '../../src/common/index.js';

/** Runs one check `elapsed` milliseconds after the watch has opened and returns what it logged. */
function checkAfter(elapsed: number, usage: ProcessUsage): readonly object[] {
  const lines: object[] = [];
  let now = 1000;
  let current: ProcessUsage = { processorTime: 40, garbageCollection: 10 };
  const watch = new EventLoopWatch({
    clock: { monotonic: () => now, wall: () => now },
    logger: {
      warn: (fields: unknown) => {
        lines.push(fields as object);
      },
    },
    readUsage: () => current,
  });
  watch.open();
  now += elapsed;
  current = usage;
  watch.check();
  watch.close();
  return lines;
}

/** Guards against a process that answers nothing for seconds while its logs don't say so, or not whether it was computing. */
describe('a watch of the event loop', () => {
  it('logs a stall with the processor time that was spent in it', () => {
    const lines = checkAfter(7100, { processorTime: 6840, garbageCollection: 310 });
    expect(lines).toEqual([{ delay: 7000, processorTime: 6800, garbageCollection: 300 }]);
  });

  it('logs nothing for a check that is hardly late', () => {
    expect(checkAfter(400, { processorTime: 340, garbageCollection: 10 })).toEqual([]);
  });
});
