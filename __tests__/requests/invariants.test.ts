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

const createNaiveRequest: CreateRequest = (facts, dependencies) =>
  new NaiveRequest(facts, dependencies);
const createNaiveAttempts: CreateAttempts = () => new NaiveAttempts();

describe('request invariants under faults', () => {
  it('hold in every history', () => {
    fc.assert(
      fc.property(history, (past) => {
        expect(runHistory(past)).toEqual([]);
      }),
      { seed, numRuns },
    );
  });

  it('are exercised: histories end in each outcome, and attempts are repeated', () => {
    const counts = { ran: 0, notRun: 0, unknown: 0, notApplicable: 0, repeated: 0 };
    for (const past of fc.sample(history, { seed, numRuns: countedRuns })) {
      for (const record of playHistory(past).records) {
        counts[resultCodes[record.code ?? 'internal'].outcome] += 1;
        counts.repeated += record.attempts > 1 ? 1 : 0;
      }
    }
    expect(counts.ran).toBeGreaterThan(countedRuns);
    expect(counts.notRun).toBeGreaterThan(countedRuns / 5);
    expect(counts.unknown).toBeGreaterThan(countedRuns / 5);
    expect(counts.repeated).toBeGreaterThan(countedRuns / 5);
  });

  it('do not change results without faults: callers get the answers of the naive gateway', () => {
    const histories = fc.sample(history, { seed, numRuns: countedRuns });
    const noFaults = {
      loss: 0,
      duplicate: 0,
      late: 0,
      uncertainClaims: 0,
      concurrency: 2,
      faults: [],
    };
    for (const past of histories) {
      const patientRequests = past.requests.slice(0, 2).map((sent) => ({
        ...sent,
        key: undefined,
        interval: 1 + (sent.interval % 100),
        timeout: 9000,
      }));
      const faultless = { ...past, ...noFaults, requests: patientRequests };
      const answers = playHistory(faultless).records.map(({ code, text }) => ({ code, text }));
      const naive = playHistory(faultless, createNaiveRequest, createNaiveAttempts).records;
      expect(answers).toEqual(naive.map(({ code, text }) => ({ code, text })));
    }
  });

  it.each(mutants)('are violated by a gateway or sidecar that $name', (mutant) => {
    const run = (past: History) => runHistory(past, mutant.createRequest, mutant.createAttempts);
    expect(breaksInvariant(run, mutant.breaks)).toBe(true);
  });

  it.each<Invariant>(['ownAnswer', 'wholeAnswer', 'trueNotRun', 'atMostOnce'])(
    'are violated by the naive gateway and sidecar: %s',
    (invariant) => {
      const run = (past: History) => runHistory(past, createNaiveRequest, createNaiveAttempts);
      expect(breaksInvariant(run, invariant)).toBe(true);
    },
  );
});

/** Whether some history violates the invariant. */
function breaksInvariant(
  run: (past: History) => ReturnType<typeof runHistory>,
  invariant: Invariant,
): boolean {
  const property = fc.property(history, (past) =>
    run(past).every((violation) => violation.invariant !== invariant),
  );
  return fc.check(property, { seed, numRuns: mutantRuns, endOnFailure: true }).failed;
}
