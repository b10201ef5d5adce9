import { setTimeout as pause } from 'node:timers/promises';

import type { RandomSource } from '../../../src/common/index.js';

export interface FaultSchedule {
  /** How long new faults begin, in milliseconds. */
  readonly duration: number;
  /** Mean time between the beginnings of two faults, in milliseconds. */
  readonly meanInterval: number;
  readonly random: RandomSource;
  /** Begins a fault and resolves when it has ended. */
  readonly cause: () => Promise<void>;
}

/** Causes faults that overlap until the time is over; resolves when all of them have ended. */
export async function causeFaults({
  duration,
  meanInterval,
  random,
  cause,
}: FaultSchedule): Promise<void> {
  const running: Promise<void>[] = [];
  const end = performance.now() + duration;
  while (performance.now() < end) {
    running.push(cause());
    await pause(random.integerBelow(2 * meanInterval));
  }
  await Promise.all(running);
}
