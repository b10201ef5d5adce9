import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { LeaseLead, LeaseMember } from '../../src/lease/index.js';
import { LeaseSimulation } from './simulation.js';
import { realClasses, type LeaseClasses, type Step } from './simulation-steps.js';

/** Random histories with message loss, duplication and reordering, freezes, restarts and clock drift. */

const runs = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? 10_000);
const seed = 20_261_202;
/** Generous, because it only has to end runs that hang. */
const timeout = 120_000 + 10 * runs;
const hostCount = 4;
/** Fastest relative to slowest, just within the drift bound of 2 %. */
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

function onMessage(type: 'deliver' | 'duplicate' | 'drop'): fc.Arbitrary<Step> {
  return index.map((position) => ({ type, index: position }));
}

const step: fc.Arbitrary<Step> = fc.oneof(
  weigh(
    8,
    fc.integer({ min: 1, max: 400 }).map((milliseconds): Step => ({ type: 'pass', milliseconds })),
  ),
  // About one lease, where the expiry times of lead and member differ.
  weigh(
    1,
    fc
      .integer({ min: 970, max: 1010 })
      .map((milliseconds): Step => ({ type: 'pass', milliseconds })),
  ),
  weigh(8, fc.constant<Step>({ type: 'deliverAll' })),
  weigh(8, onMessage('deliver')),
  weigh(2, onMessage('duplicate')),
  weigh(2, onMessage('drop')),
  weigh(
    3,
    fc
      .array(host, { minLength: 2, maxLength: 3 })
      .map((members): Step => ({ type: 'place', members })),
  ),
  weigh(6, onHost('updatePlacements')),
  weigh(2, onHost('restart')),
  weigh(2, onHost('freeze')),
  weigh(2, onHost('thaw')),
  weigh(1, onHost('fail')),
  weigh(1, onHost('recover')),
  weigh(1, onHost('drain')),
  weigh(1, onHost('disconnect')),
);

const rates = fc.array(fc.constantFrom(slowestRate, 1, fastestRate), {
  minLength: hostCount,
  maxLength: hostCount,
});
const history = fc.array(step, { minLength: 10, maxLength: 70, size: 'max' });

function runHistory(classes: LeaseClasses, clockRates: readonly number[], steps: readonly Step[]) {
  const simulation = new LeaseSimulation(clockRates, classes);
  for (const each of startUp) {
    simulation.step(each);
  }
  for (const each of steps) {
    simulation.step(each);
    const fault = simulation.check();
    if (fault !== undefined) {
      throw new Error(fault);
    }
  }
  return simulation;
}

/** Passes the restart wait of the first start and places one group of two that its hosts know. */
const startUp: readonly Step[] = [
  { type: 'pass', milliseconds: 1100 },
  { type: 'place', members: [0, 1] },
  { type: 'updatePlacements', host: 0 },
  { type: 'updatePlacements', host: 1 },
  { type: 'deliverAll' },
];

function findFault(classes: LeaseClasses): string | null {
  const property = fc.property(rates, history, (clockRates, steps) => {
    runHistory(classes, clockRates, steps);
  });
  const result = fc.check(property, { seed, numRuns: runs, endOnFailure: true });
  return result.failed ? String(result.errorInstance) : null;
}

describe('lease histories', () => {
  it(
    'never lets a group serve without all its members or a host serve in two groups, and recovers after faults',
    { timeout },
    () => {
      const property = fc.property(rates, history, (clockRates, steps) => {
        const simulation = runHistory(realClasses, clockRates, steps);
        simulation.step({ type: 'place', members: [2, 3] });
        simulation.heal();
        expect(simulation.check()).toBeUndefined();
        expect(simulation.listWhole()).toContain(simulation.newestFencingNumber);
      });
      fc.assert(property, { seed, numRuns: runs });
    },
  );
});

/** Each mutant lacks one safety rule; some history must detect that. */
describe('mutants of the lease rules', () => {
  it('detects a missing wait after a restart', () => {
    class WithoutRestartWait extends LeaseMember {
      protected override restartWaitEnd(now: number): number {
        return now;
      }
    }
    const createMember: LeaseClasses['createMember'] = (options) => new WithoutRestartWait(options);
    expect(findFault({ ...realClasses, createMember })).not.toBeNull();
  });

  it('detects a missing wait for the lease of another group', () => {
    class WithoutHeldCheck extends LeaseMember {
      protected override isHeldByOther(): boolean {
        return false;
      }
    }
    const createMember: LeaseClasses['createMember'] = (options) => new WithoutHeldCheck(options);
    expect(findFault({ ...realClasses, createMember })).not.toBeNull();
  });

  it('detects leases that are not counted from the send time of the question', () => {
    class CountingFromAnswerArrival extends LeaseLead {
      protected override leaseEnd(_sentAt: number, now: number, granted: number): number {
        return super.leaseEnd(now, now, granted);
      }
    }
    const createLead: LeaseClasses['createLead'] = (options) =>
      new CountingFromAnswerArrival(options);
    expect(findFault({ ...realClasses, createLead })).not.toBeNull();
  });

  it('detects a missing margin for clock drift', () => {
    class WithoutDriftMargin extends LeaseLead {
      protected override leaseEnd(sentAt: number, _now: number, granted: number): number {
        return sentAt + granted;
      }
    }
    const createLead: LeaseClasses['createLead'] = (options) => new WithoutDriftMargin(options);
    expect(findFault({ ...realClasses, createLead })).not.toBeNull();
  });
});
