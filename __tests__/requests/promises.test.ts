import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { history, runHistory } from './history.js';

const seed = 20_261_202;
const numRuns = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? 10_000);

describe('the promises of a request under faults', () => {
  it('hold in every history', () => {
    fc.assert(
      fc.property(history, (past) => {
        expect(runHistory(past)).toEqual([]);
      }),
      { seed, numRuns },
    );
  });
});
