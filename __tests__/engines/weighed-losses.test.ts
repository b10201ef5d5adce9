import { describe, expect, it } from 'vitest';

import type { LossInput, ModelOutcome } from '../../src/engines/index.js';
import { createGroupView, createMembers, planGroups, type TestEngine } from './fixtures.js';

/** Groups of four and two engines with 24 slots each, of which 0.7 are planned for. */
function createGroups(model: string, count: number, domain: string) {
  const size = model === 'large' ? 4 : 2;
  return Array.from({ length: count }, (_, index) => {
    const hosts = Array.from({ length: size }, (__, member) => `${model}-${index}-${member}`);
    const view = createGroupView(`${model}/${index + (model === 'large' ? 1 : 50)}`, hosts);
    return { view, engines: createMembers(view, domain) };
  });
}

function createOutcome(lossShare: number, priority: number): ModelOutcome {
  return { inTime: 100 * (1 - lossShare), late: 0, refused: 100 * lossShare, priority };
}

interface Case {
  readonly large: number;
  readonly small: number;
  readonly demand: readonly [large: number, small: number];
  /** Fraction of requests lost. */
  readonly lost?: readonly [large: number, small: number];
  readonly priorities?: readonly [large: number, small: number];
  readonly exchanges?: LossInput['exchanges'];
  readonly idle?: readonly TestEngine[];
}

function plan({ large, small, demand, idle = [], ...losses }: Case, isOn = true) {
  const groups = [...createGroups('large', large, 'd0'), ...createGroups('small', small, 'd0')];
  const { lost = [0, 0], priorities = [1, 1], exchanges = [] } = losses;
  const outcomes = new Map([
    ['large', createOutcome(lost[0], priorities[0])],
    ['small', createOutcome(lost[1], priorities[1])],
  ]);
  return planGroups(
    groups.map(({ view }) => view),
    [...groups.flatMap(({ engines }) => engines), ...idle],
    new Map([
      ['large', demand[0]],
      ['small', demand[1]],
    ]),
    isOn ? { losses: { outcomes, exchanges } } : {},
  );
}

function createIdle(count: number): readonly TestEngine[] {
  return Array.from({ length: count }, (_, index) => {
    return { host: `idle-${index}`, domain: 'd0', lastModel: 'small', staged: 'large' };
  });
}

describe('models that are weighed by what their callers lose', () => {
  /**
   * Guards against this failure: callers of the small model are refused in each burst while three groups of the large one serve a demand
   * that one could. Its small demand was raised to 1.5 groups, so that the third group still counted as a reserve.
   */
  it('with hardly any demand give up a third group for the reserve of another', () => {
    const present: Case = { large: 3, small: 6, demand: [10, 68] };
    expect(plan(present, false).advance).toEqual([]);
    const { advance, exchanges } = plan(present);
    expect(advance).toMatchObject([
      { phase: 'draining', reason: 'its engines are needed for small' },
    ]);
    expect(exchanges).toEqual([{ from: 'large', to: 'small' }]);
  });

  // Guards against callers of a model with hardly any demand that find no group after each loss.
  it('keep a second group while no model lacks capacity', () => {
    expect(plan({ large: 2, small: 6, demand: [10, 68] }).advance).toEqual([]);
  });

  // Guards against a model without any group for seconds after each loss, while the model that took its second group gains less.
  it.each([1, 2])('keep %d groups, whatever others lose', (large) => {
    const { advance } = plan({ large, small: 3, demand: [10, 150], lost: [0, 0.7] });
    expect(advance).toEqual([]);
  });

  // Guards against callers that are refused while another model, whose callers lose nothing, has a group more than its demand needs.
  it('give up a group to a model whose callers lose much', () => {
    const { exchanges } = plan({ large: 3, small: 3, demand: [45, 90], lost: [0, 0.4] });
    expect(exchanges).toEqual([{ from: 'large', to: 'small' }]);
  });

  // Guards against engines that are taken from a model whose callers lose more than those they are taken for.
  it('give up no group to a model whose callers lose less', () => {
    const { exchanges } = plan({ large: 3, small: 3, demand: [45, 90], lost: [0.5, 0.4] });
    expect(exchanges).toEqual([]);
  });

  /**
   * Guards against this failure: the last group of a model was lost, and for 20 s none was formed, because the engines of the other model
   * were kept by its more urgent callers, some of whom were refused.
   */
  it('give up groups to a model that has none, whatever their callers lose', () => {
    const without: Case = { large: 0, small: 9, demand: [20, 120], lost: [0.2, 0.4] };
    const recent = [{ from: 'large', to: 'small', age: 1000 }];
    // The engines of two small groups form one large one.
    const taken = { from: 'small', to: 'large' };
    expect(plan({ ...without, priorities: [1, 0] }).exchanges).toEqual([taken, taken]);
    expect(plan({ ...without, exchanges: recent }).exchanges).toEqual([taken, taken]);
  });

  // Guards against two models that alternately take the same engines from each other, each time without groups for seconds.
  it('give back no group within 5 s', () => {
    const losing: Case = { large: 3, small: 3, demand: [45, 90], lost: [0, 0.4] };
    const exchanged = (age: number) => [{ from: 'small', to: 'large', age }];
    expect(plan({ ...losing, exchanges: exchanged(4999) }).exchanges).toEqual([]);
    expect(plan({ ...losing, exchanges: exchanged(5000) }).exchanges).toHaveLength(1);
  });

  // Guards against idle engines that go to the model with the lowest coverage although callers of a more urgent model lose as much.
  it('get the next group by urgency', () => {
    const both: Case = { large: 2, small: 2, demand: [60, 50], idle: createIdle(4) };
    const lost = [0.4, 0.3] as const;
    expect(plan({ ...both, lost }).place[0]?.model).toBe('large');
    expect(plan({ ...both, lost, priorities: [1, 0] }).place[0]?.model).toBe('small');
  });

  // Guards against a demand that is measured too low: callers are late while the groups seem to suffice.
  it('get another group if their callers lose although the demand is covered', () => {
    const covered: Case = { large: 4, small: 6, demand: [25, 30], idle: createIdle(4) };
    expect(plan(covered).place.map(({ model }) => model)).not.toContain('large');
    const { place } = plan({ ...covered, lost: [0.6, 0] });
    expect(place.map(({ model }) => model)).toContain('large');
  });
});
