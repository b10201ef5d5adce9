import { describe, expect, it } from 'vitest';

import { applyContracts } from '../../platform/contracts.js';

describe('the contracts of a deployment', () => {
  // Guards against a deployment that plans in a new way although nothing in its settings asks for it.
  it.each([
    [[], false],
    [['places'], false],
    [['places', 'pressure'], true],
  ])('%j switch the weighing of losses: %s', (contracts, weighLosses) => {
    const settings = { planning: { weighLosses: false } };
    expect(applyContracts(settings, contracts)).toEqual({ planning: { weighLosses } });
  });

  it('leave a setting that is on', () => {
    const settings = { planning: { weighLosses: true } };
    expect(applyContracts(settings, [])).toEqual(settings);
  });
});
