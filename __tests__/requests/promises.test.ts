import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { NaiveAttempts, NaiveRequest } from '../../bench/requests/naive.js';
import type { CreateRequest } from '../../bench/requests/fake-gateway.js';
import type { CreateAttempts } from '../../bench/requests/fake-sidecar.js';
import { resultCodes } from '../../src/common/index.js';
import { history, playHistory, runHistory, type History, type Invariant } from './history.js';
import { mutants } from './mutants.js';

const seed = 20_261_202;
const numRuns = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? 10_000);
const mutantRuns = 3000;
const countedRuns = 500;

const createNaiveRequest: CreateRequest = (facts, surroundings) =>
  new NaiveRequest(facts, surroundings);
const createNaiveAttempts: CreateAttempts = () => new NaiveAttempts();

describe('the promises of a request under faults', () => {
  it('hold in every history', () => {
    fc.assert(
      fc.property(history, (past) => {
        expect(runHistory(past)).toEqual([]);
      }),
      { seed, numRuns },
    );
  });

  it('are put to the test: histories end in each outcome, and attempts are repeated', () => {
    const counts = { ran: 0, notRun: 0, unknown: 0, notApplicable: 0, repeated: 0 };
    for (const past of fc.sample(history, { seed, numRuns: countedRuns })) {
      for (const record of playHistory(past).heard) {
        counts[resultCodes[record.code ?? 'internal'].outcome] += 1;
        counts.repeated += record.attempts > 1 ? 1 : 0;
      }
    }
    expect(counts.ran).toBeGreaterThan(countedRuns);
    expect(counts.notRun).toBeGreaterThan(countedRuns / 5);
    expect(counts.unknown).toBeGreaterThan(countedRuns / 5);
    expect(counts.repeated).toBeGreaterThan(countedRuns / 5);
  });

  it('cost nothing without faults: callers get what the naive gateway gives them', () => {
    const world = fc.sample(history, { seed, numRuns: countedRuns });
    const quiet = {
      loss: 0,
      duplicate: 0,
      late: 0,
      uncertainClaims: 0,
      concurrency: 2,
      faults: [],
    };
    for (const past of world) {
      const patient = past.requests.slice(0, 2).map((sent) => ({
        ...sent,
        key: undefined,
        interval: 1 + (sent.interval % 100),
        timeout: 9000,
      }));
      const calm = { ...past, ...quiet, requests: patient };
      const answers = playHistory(calm).heard.map(({ code, text }) => ({ code, text }));
      const naive = playHistory(calm, createNaiveRequest, createNaiveAttempts).heard;
      expect(answers).toEqual(naive.map(({ code, text }) => ({ code, text })));
    }
  });

  it.each(mutants)('are broken by a gateway or sidecar that $name', (mutant) => {
    const run = (past: History) => runHistory(past, mutant.createRequest, mutant.createAttempts);
    expect(findBroken(run, mutant.breaks)).toBe(true);
  });

  it.each<Invariant>(['ownAnswer', 'wholeAnswer', 'trueNotRun', 'atMostOnce'])(
    'are broken by the naive gateway and sidecar: %s',
    (invariant) => {
      const run = (past: History) => runHistory(past, createNaiveRequest, createNaiveAttempts);
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
