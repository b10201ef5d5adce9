import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { Mutation } from './simulation/simulated-cluster.js';
import { createScheduleArbitrary, runSchedule } from './simulation/schedule.js';

/** Number of schedules per run; set the variable for a longer search. */
const runs = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? 10_000);
const seed = Number(process.env.PISTACHIOSPOKE_PROPERTY_SEED ?? 20_261_202);

describe('random schedules', () => {
  it('violate no invariant of the log', () => {
    fc.assert(
      fc.property(createScheduleArbitrary('none'), (schedule) => {
        runSchedule(schedule);
      }),
      { numRuns: runs, seed },
    );
    expect(runs).toBeGreaterThan(0);
  });

  it('exercise elections, changes, snapshots and readmissions', () => {
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
 * Each fault is injected into the harness around an unchanged core. A check that passes in spite of the fault would prove
 * nothing about the core either.
 */
describe('random schedules with an injected fault', () => {
  const invariantMessages = /lead term|leads term|leads without|committed|does not see|logs differ/;
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
    expect(String(details.errorInstance)).toMatch(invariantMessages);
  });
});

function countReadmitted(voters: readonly { readonly storageId: string }[] = []): number {
  return voters.filter(({ storageId }) => !storageId.endsWith('1')).length;
}
