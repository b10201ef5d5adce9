import { describe, expect, it } from 'vitest';

import { simulateOverload } from './overload-simulation.js';
import type { OverloadOptions } from './overload-types.js';

/** Prompts of the large model take longer to read than its slots are the bound. */
const largeModel: OverloadOptions = {
  seed: 1,
  gateways: 17,
  groups: 9,
  rate: 45,
  burst: 1.8,
  duration: 24_000,
  burstFrom: 8000,
  burstUntil: 11_000,
  awayFrom: 6000,
  awayUntil: 14_000,
  objective: 500,
  pace: 1,
  prompt: 2500,
  answer: 250,
  order: 'newest',
  limitsByObjective: true,
};
const smallModel = {
  ...largeModel,
  rate: 105,
  objective: 250,
  pace: 0.6,
  prompt: 800,
  answer: 150,
};
const undisturbed = { burst: 1, awayFrom: 24_000, awayUntil: 24_000 };
const seeds = [1, 2, 3, 4];

function averageOver(read: (seed: number) => number): number {
  return seeds.reduce((sum, seed) => sum + read(seed), 0) / seeds.length;
}

describe('an overload that a lost third of the groups and a burst cause', () => {
  // Guards against groups that are filled beyond what they can begin in time, and make requests late for ten seconds after the cause has ended.
  it('is over within two seconds of its cause', () => {
    const recovery = (limitsByObjective: boolean): number =>
      averageOver((seed) => simulateOverload({ ...largeModel, limitsByObjective, seed }).recovery);
    expect(recovery(true)).toBeLessThanOrEqual(2000);
    expect(recovery(false)).toBeGreaterThan(4000);
  });

  // Guards against a queue within the groups that makes all requests late instead of some.
  it.each([
    ['small', smallModel, 0.03],
    ['large', largeModel, 0.15],
  ])('leaves more requests of the %s model in time', (_, options, gain) => {
    const share = (limitsByObjective: boolean): number =>
      averageOver((seed) => {
        const { inTime, requests } = simulateOverload({ ...options, limitsByObjective, seed });
        return inTime / requests;
      });
    expect(share(true)).toBeGreaterThan(share(false) + gain);
  });

  // Guards against several gateways that each send as many requests as one of them may, because they see the same free slots.
  it('does not let queues grow at groups', () => {
    for (const seed of seeds) {
      expect(simulateOverload({ ...smallModel, seed }).longestQueue).toBeLessThan(15);
    }
  });

  // Guards against a bound that leaves places empty: requests refused while less than half of the slots are taken.
  it('causes hardly a refusal while half of the slots are free', () => {
    for (const seed of seeds) {
      const { needlessRefusals, refusals } = simulateOverload({ ...largeModel, seed });
      expect(needlessRefusals).toBeLessThan(0.03 * refusals);
    }
  });
});

describe('the bound on the work of a group', () => {
  // Guards against requests that are refused or late at usual load because of a bound that is too low.
  it.each([
    ['small', { ...smallModel, ...undisturbed }],
    ['large', { ...largeModel, ...undisturbed }],
    ['small at one gateway', { ...smallModel, ...undisturbed, gateways: 1 }],
  ])('costs nothing at usual load: %s', (_, options) => {
    for (const seed of seeds) {
      const present = simulateOverload({ ...options, seed, limitsByObjective: false });
      const bounded = simulateOverload({ ...options, seed });
      expect(bounded.inTime / bounded.requests).toBeGreaterThan(
        present.inTime / present.requests - 0.01,
      );
      expect(bounded.refusals).toBeLessThanOrEqual(0.005 * bounded.requests);
    }
  });

  // Guards against a group that turns slow and keeps its share, and against one that is not used again after it has turned fast.
  it('follows a group that turns slow for a while', () => {
    const slow = { from: 6000, until: 12_000, factor: 2 };
    const options = { ...smallModel, ...undisturbed, rate: 120, burstUntil: 12_000, slow };
    const simulate = (limitsByObjective: boolean) =>
      seeds.map((seed) => simulateOverload({ ...options, seed, limitsByObjective }));
    const countLate = (results: ReturnType<typeof simulate>): number =>
      results.reduce((sum, { late }) => sum + late, 0);
    const bounded = simulate(true);
    expect(countLate(bounded)).toBeLessThan(0.75 * countLate(simulate(false)));
    for (const { shares } of bounded) {
      expect(shares.slice(-8).every((share) => share > 0.9)).toBe(true);
    }
  });
});

// Guards against requests that are late or refused at the gateway which gets most of them, because each gateway has its share of a group.
describe('a gateway that gets most of the requests', () => {
  it.each([
    ['small', smallModel],
    ['large', largeModel],
  ])('has those of the %s model served as if all gateways got as many', (_, options) => {
    const share = (concentration: number): number =>
      averageOver((seed) => {
        const calm = { ...options, ...undisturbed, seed, concentration };
        const { inTime, requests } = simulateOverload(calm);
        return inTime / requests;
      });
    expect(share(0.9)).toBeGreaterThan(0.75 * share(0));
  });
});
