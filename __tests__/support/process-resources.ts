/** What the processes that a test has started take of their machine. */
import { readdir, writeFile } from 'node:fs/promises';
import { setTimeout as pause } from 'node:timers/promises';

import type { RunningProgram } from './programs.js';
import { readPeakMemory } from './resident-memory.js';

const measureInterval = 100;
/** Written to `clear_refs`; see proc(5). */
const resetPeakCommand = '5';

/** Largest resident memory so far, and open descriptors, of several processes together. */
export interface Resources {
  readonly peakBytes: number;
  readonly descriptors: number;
}

export async function readResources(programs: readonly RunningProgram[]): Promise<Resources> {
  const each = await Promise.all(programs.map(readProgram));
  return {
    peakBytes: each.reduce((sum, { peakBytes }) => sum + peakBytes, 0),
    descriptors: each.reduce((sum, { descriptors }) => sum + descriptors, 0),
  };
}

/** Lets the peak of a program's memory begin anew at what it has now. */
export async function resetPeak({ pid }: RunningProgram): Promise<void> {
  await writeFile(`/proc/${pid}/clear_refs`, resetPeakCommand).catch(() => undefined);
}

/** Measures until the time has passed or one of the programs has ended; returns the most that was seen. */
export async function watchResources(
  programs: readonly RunningProgram[],
  milliseconds: number,
): Promise<Resources> {
  let most: Resources = { peakBytes: 0, descriptors: 0 };
  const end = performance.now() + milliseconds;
  while (performance.now() < end && programs.every(({ isRunning }) => isRunning)) {
    const { peakBytes, descriptors } = await readResources(programs);
    most = {
      peakBytes: Math.max(most.peakBytes, peakBytes),
      descriptors: Math.max(most.descriptors, descriptors),
    };
    await pause(measureInterval);
  }
  return most;
}

async function readProgram({ pid }: RunningProgram): Promise<Resources> {
  const descriptors = await readdir(`/proc/${pid}/fd`).catch(() => []);
  return { peakBytes: (await readPeakMemory(pid)) ?? 0, descriptors: descriptors.length };
}
