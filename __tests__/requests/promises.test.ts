import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { NaiveAttempts, NaiveRequest } from '../../bench/requests/naive.js';
import { history, runHistory, type History, type Invariant } from './history.js';
import { mutants } from './mutants.js';

const seed = 20_261_202;
const numRuns = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? 10_000);
const mutantRuns = 3000;

describe('the promises of a request under faults', () => {
  it('hold in every history', () => {
    fc.assert(
      fc.property(history, (past) => {
        expect(runHistory(past)).toEqual([]);
      }),
      { seed, numRuns },
    );
  });

  it.each(mutants)('are broken by a gateway or sidecar that $name', (mutant) => {
    const run = (past: History) => runHistory(past, mutant.createRequest, mutant.createAttempts);
    expect(findBroken(run, mutant.breaks)).toBe(true);
  });

  it.each<Invariant>(['ownAnswer', 'wholeAnswer', 'trueNotRun', 'atMostOnce'])(
    'are broken by the naive gateway and sidecar: %s',
    (invariant) => {
      const run = (past: History) =>
        runHistory(
          past,
          (facts, surroundings) => new NaiveRequest(facts, surroundings),
          () => new NaiveAttempts(),
        );
      expect(findBroken(run, invariant)).toBe(true);
    },
  );
});

/** Whether some history breaks the promise. */
function findBroken(
  run: (past: History) => ReturnType<typeof runHistory>,
  invariant: Invariant,
): boolean {
  const property = fc.property(history, (past) =>
    run(past).every((violation) => violation.invariant !== invariant),
  );
  return fc.check(property, { seed, numRuns: mutantRuns, endOnFailure: true }).failed;
}
