import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { Mutation } from './simulation/simulated-cluster.js';
import { createScheduleArbitrary, runSchedule } from './simulation/schedule.js';

/** Schedules in a run; a longer search sets the variable. */
const runs = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? 10_000);
const seed = Number(process.env.PISTACHIOSPOKE_PROPERTY_SEED ?? 20_261_202);

describe('random schedules', () => {
  it('break no promise of the log', () => {
    fc.assert(
      fc.property(createScheduleArbitrary('none'), (schedule) => {
        runSchedule(schedule);
      }),
      { numRuns: runs, seed },
    );
    expect(runs).toBeGreaterThan(0);
  });

  it('reach what they are meant to disturb', () => {
    const schedules = fc.sample(createScheduleArbitrary('none'), { numRuns: 500, seed });
    const clusters = schedules.map(runSchedule);
    const sum = (count: (cluster: (typeof clusters)[number]) => number): number =>
      clusters.reduce((total, cluster) => total + count(cluster), 0);
    expect(sum(({ history }) => history.leaderCount)).toBeGreaterThan(700);
    expect(sum(({ history }) => history.answeredValues.length)).toBeGreaterThan(700);
    expect(sum(({ restoreCount }) => restoreCount)).toBeGreaterThan(10);
    expect(sum(({ leader }) => countReadmitted(leader?.core.membership.voters))).toBeGreaterThan(
      50,
    );
  });
});

/**
 * Each fault is put into the harness, around an unchanged core. A check that stays green with one of them in place would
 * prove nothing about the core either.
 */
describe('random schedules with a fault put in', () => {
  const brokenPromise = /lead term|leads term|leads without|committed|does not see|logs differ/;
  const mutations: readonly Mutation[] = [
    'answersBeforeSync',
    'reusesStorageId',
    'answersBeforeCommit',
  ];
  it.each(mutations)('notice %s', (mutation) => {
    const property = fc.property(createScheduleArbitrary(mutation), (schedule) => {
      runSchedule(schedule);
    });
    const details = fc.check(property, { numRuns: 10_000, seed, endOnFailure: true });
    expect(details.failed).toBe(true);
    expect(String(details.errorInstance)).toMatch(brokenPromise);
  });
});

function countReadmitted(voters: readonly { readonly storageId: string }[] = []): number {
  return voters.filter(({ storageId }) => !storageId.endsWith('1')).length;
}
