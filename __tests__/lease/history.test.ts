import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { LeaseLead, LeaseMember } from '../../src/lease/index.js';
import { LeaseWorld } from './world.js';
import { realClasses, type LeaseClasses, type Step } from './world-steps.js';

/** Random histories of loss, doubling, reordering, freezes, restarts and drifting clocks. */

const runs = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? 10_000);
const seed = 20_261_202;
/** Generous: the time limit only ends a run that hangs. */
const timeout = 120_000 + 10 * runs;
const hostCount = 4;
/** Fastest against slowest: just within the stated bound of 2 parts in 100. */
const fastestRate = 1.0099;
const slowestRate = 0.9901;

const host = fc.nat({ max: hostCount - 1 });
const index = fc.nat({ max: 30 });

function weigh<Type extends Step>(weight: number, arbitrary: fc.Arbitrary<Type>) {
  return { weight, arbitrary: arbitrary as fc.Arbitrary<Step> };
}

function onHost(type: Extract<Step, { readonly host: number }>['type']): fc.Arbitrary<Step> {
  return host.map((index) => ({ type, host: index }));
}

function onMessage(type: 'deliver' | 'double' | 'lose'): fc.Arbitrary<Step> {
  return index.map((position) => ({ type, index: position }));
}

const step: fc.Arbitrary<Step> = fc.oneof(
  weigh(
    8,
    fc.integer({ min: 1, max: 400 }).map((milliseconds): Step => ({ type: 'pass', milliseconds })),
  ),
  // About one lease: where the counts of lead and member part.
  weigh(
    1,
    fc
      .integer({ min: 970, max: 1010 })
      .map((milliseconds): Step => ({ type: 'pass', milliseconds })),
  ),
  weigh(8, fc.constant<Step>({ type: 'deliverAll' })),
  weigh(8, onMessage('deliver')),
  weigh(2, onMessage('double')),
  weigh(2, onMessage('lose')),
  weigh(
    3,
    fc
      .array(host, { minLength: 2, maxLength: 3 })
      .map((members): Step => ({ type: 'place', members })),
  ),
  weigh(6, onHost('learn')),
  weigh(2, onHost('restart')),
  weigh(2, onHost('freeze')),
  weigh(2, onHost('thaw')),
  weigh(1, onHost('sicken')),
  weigh(1, onHost('cure')),
  weigh(1, onHost('drain')),
  weigh(1, onHost('cut')),
);

const rates = fc.array(fc.constantFrom(slowestRate, 1, fastestRate), {
  minLength: hostCount,
  maxLength: hostCount,
});
const history = fc.array(step, { minLength: 10, maxLength: 70, size: 'max' });

function runHistory(classes: LeaseClasses, clockRates: readonly number[], steps: readonly Step[]) {
  const world = new LeaseWorld(clockRates, classes);
  for (const each of startUp) {
    world.step(each);
  }
  for (const each of steps) {
    world.step(each);
    const fault = world.check();
    if (fault !== undefined) {
      throw new Error(fault);
    }
  }
  return world;
}

/** Past the wait of the first start, with one group of two placed and known. */
const startUp: readonly Step[] = [
  { type: 'pass', milliseconds: 1100 },
  { type: 'place', members: [0, 1] },
  { type: 'learn', host: 0 },
  { type: 'learn', host: 1 },
  { type: 'deliverAll' },
];

function findFault(classes: LeaseClasses): string | null {
  const property = fc.property(rates, history, (clockRates, steps) => {
    runHistory(classes, clockRates, steps);
  });
  const result = fc.check(property, { seed, numRuns: runs, endOnFailure: true });
  return result.failed ? String(result.errorInstance) : null;
}

describe('histories of leases', () => {
  it(
    'never lets a group serve without all its members, nor a host serve in two, and heals',
    { timeout },
    () => {
      const property = fc.property(rates, history, (clockRates, steps) => {
        const world = runHistory(realClasses, clockRates, steps);
        world.step({ type: 'place', members: [2, 3] });
        world.heal();
        expect(world.check()).toBeUndefined();
        expect(world.listWhole()).toContain(world.newestFencingNumber);
      });
      fc.assert(property, { seed, numRuns: runs });
    },
  );
});

/** Each rule taken out by itself: a history must show that it is missed. */
describe('mutants of the lease rules', () => {
  it('misses the wait after a restart', () => {
    class Impatient extends LeaseMember {
      protected override restartWaitEnd(now: number): number {
        return now;
      }
    }
    const createMember: LeaseClasses['createMember'] = (options) => new Impatient(options);
    expect(findFault({ ...realClasses, createMember })).not.toBeNull();
  });

  it('misses the wait for the lease of another group', () => {
    class Promiscuous extends LeaseMember {
      protected override isHeldByOther(): boolean {
        return false;
      }
    }
    const createMember: LeaseClasses['createMember'] = (options) => new Promiscuous(options);
    expect(findFault({ ...realClasses, createMember })).not.toBeNull();
  });

  it('misses the counting from when the question left', () => {
    class CountingFromAnswer extends LeaseLead {
      protected override leaseEnd(_sentAt: number, now: number, granted: number): number {
        return super.leaseEnd(now, now, granted);
      }
    }
    const createLead: LeaseClasses['createLead'] = (options) => new CountingFromAnswer(options);
    expect(findFault({ ...realClasses, createLead })).not.toBeNull();
  });

  it('misses the margin for drifting clocks', () => {
    class TrustingClocks extends LeaseLead {
      protected override leaseEnd(sentAt: number, _now: number, granted: number): number {
        return sentAt + granted;
      }
    }
    const createLead: LeaseClasses['createLead'] = (options) => new TrustingClocks(options);
    expect(findFault({ ...realClasses, createLead })).not.toBeNull();
  });
});
