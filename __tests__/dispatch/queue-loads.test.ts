import { describe, expect, it } from 'vitest';

import {
  AccountShares,
  AccountWork,
  UrgencyQueue,
  type RequestQueue,
} from '../../src/dispatch/index.js';
import { NewestFirstQueue } from './newest-first-queue.js';
import {
  isInTime,
  isServed,
  shareOf,
  simulateQueues,
  startTime,
  type CallRecord,
  type SimulatedRequest,
  type SimulationOptions,
  type Traffic,
} from './queue-simulation.js';

/**
 * Loads beyond capacity, replayed with both orders. Each test guards against the failure that its title names, which the newest-first order
 * shows in the same replay.
 */

const seeds = [1, 2] as const;
/** Six groups of 34 slots; a request takes 600 ms on average, so 340 requests per second can be served. */
const slots = 204;
const capacity = 340;
const accounts = Array.from({ length: 24 }, (_, index) => `account-${index}`);
const usual: Traffic = {
  account: 'account-0',
  route: 'interactive',
  priority: 0,
  requestsPerSecond: capacity / accounts.length,
  objective: 251,
  tokens: 400,
  duration: 600,
  returns: 'onceLater',
};

type Order = 'urgency' | 'newest';

const orders: Readonly<Record<Order, () => RequestQueue<SimulatedRequest>>> = {
  urgency: () => new UrgencyQueue({ expectedStart: () => startTime, weightOf: () => 1 }),
  newest: () => new NewestFirstQueue(),
};

function replay(
  order: Order,
  options: Pick<SimulationOptions, 'traffic' | 'burst' | 'end'>,
): readonly CallRecord[] {
  return seeds.flatMap((seed) => {
    return simulateQueues({ gateways: 17, slots, ...options, seed, createQueue: orders[order] });
  });
}

function of(calls: readonly CallRecord[], condition: (traffic: Traffic) => boolean): CallRecord[] {
  return calls.filter(({ traffic }) => condition(traffic));
}

/** Refusals after more than an eighth of the objective, as a share of all refusals. */
function shareRefusedLate(calls: readonly CallRecord[]): number {
  const refusals = calls.flatMap(({ held, traffic }) => {
    return held.map((duration) => ({ duration, objective: traffic.objective }));
  });
  return shareOf(refusals, ({ duration, objective }) => duration > objective / 8);
}

describe('a burst of 2.6 times for six seconds', () => {
  const options = {
    traffic: accounts.map((account) => {
      return { ...usual, account, requestsPerSecond: usual.requestsPerSecond * 0.7 };
    }),
    burst: { factor: 2.6, from: 3000, to: 9000 },
    end: 12_000,
  };

  /** Guards against callers that are held for half a second and then refused. */
  it('refuses at once what cannot be served', () => {
    expect(shareRefusedLate(replay('urgency', options))).toBeLessThan(0.05);
    expect(shareRefusedLate(replay('newest', options))).toBeGreaterThan(0.9);
  });

  /** Guards against slots that go to requests which are already late while the callers that arrive after the burst wait. */
  it('serves more of the callers after the burst in time', () => {
    const measure = (order: Order): number => {
      const after = replay(order, options).filter(({ calledAt }) => calledAt >= 9000);
      return shareOf(after, isInTime);
    };
    expect(measure('urgency')).toBeGreaterThan(measure('newest') + 0.05);
  });
});

describe('one account with ten times its share', () => {
  const small = new Set(['account-1', 'account-2', 'account-3']);
  const options = {
    traffic: accounts.map((account, index) => {
      const factor = index === 0 ? 10 : small.has(account) ? 0.5 : 1;
      return { ...usual, account, requestsPerSecond: usual.requestsPerSecond * factor };
    }),
    end: 8000,
  };

  /** Guards against an account that crowds out those that ask for less than their share. */
  it('serves accounts that ask for half of their share 95% of the time', () => {
    const measure = (order: Order): number => {
      return shareOf(
        of(replay(order, options), ({ account }) => small.has(account)),
        isServed,
      );
    };
    expect(measure('urgency')).toBeGreaterThan(0.95);
    expect(measure('newest')).toBeLessThan(0.85);
  });
});

describe('a third of the callers that retry at once and often', () => {
  const options = {
    traffic: accounts.map((account, index): Traffic => {
      const returns = index % 3 === 0 ? 'atOnceAndOften' : 'onceLater';
      return { ...usual, account, returns, requestsPerSecond: usual.requestsPerSecond * 1.4 };
    }),
    end: 8000,
  };

  /** Guards against callers that gain slots by retrying, at the cost of those that come back when they were told. */
  it('does not serve the first requests of patient callers less often than those of the others', () => {
    const measure = (order: Order): number => {
      const calls = replay(order, options);
      const firstServed = (returns: Traffic['returns']): number => {
        return shareOf(
          of(calls, (traffic) => traffic.returns === returns),
          (call) => isServed(call) && call.attempts === 1,
        );
      };
      return firstServed('onceLater') - firstServed('atOnceAndOften');
    };
    expect(measure('urgency')).toBeGreaterThan(0.15);
    expect(measure('newest')).toBeLessThan(0.05);
  });
});

describe('a batch class beside an interactive one', () => {
  const traffic = (interactive: number, batch: number): readonly Traffic[] => {
    return accounts.flatMap((account): readonly Traffic[] => {
      const { requestsPerSecond: share } = usual;
      return [
        { ...usual, account, requestsPerSecond: share * interactive },
        {
          ...usual,
          account,
          route: 'batch',
          priority: 2,
          objective: 2000,
          requestsPerSecond: share * batch,
        },
      ];
    });
  };
  const served = (calls: readonly CallRecord[], route: string): number => {
    return shareOf(
      of(calls, (source) => source.route === route),
      isServed,
    );
  };

  /** Guards against batch requests that take slots from interactive callers. */
  it('serves the interactive class far more often', () => {
    const options = { traffic: traffic(0.8, 0.8), end: 8000 };
    const measure = (order: Order): number => {
      const calls = replay(order, options);
      return served(calls, 'interactive') - served(calls, 'batch');
    };
    expect(measure('urgency')).toBeGreaterThan(0.4);
    expect(measure('newest')).toBeLessThan(0.1);
  });

  /** Guards against a class that is starved while more urgent requests alone exceed the capacity. */
  it('serves the batch class at least a quarter as often as all requests', () => {
    const calls = replay('urgency', { traffic: traffic(1.6, 0.4), end: 8000 });
    expect(served(calls, 'batch')).toBeGreaterThan(shareOf(calls, isServed) / 4);
  });
});

describe('accounts that are spread unevenly over gateways', () => {
  const concentrated = 'account-1';
  const traffic = accounts.map((account): Traffic => {
    const source = { ...usual, account, requestsPerSecond: usual.requestsPerSecond * 1.3 };
    return account === concentrated ? { ...source, gateway: 0 } : source;
  });

  function measureServed(isControlHeard: boolean): number {
    const calls = seeds.flatMap((seed) => {
      const gateways = 17;
      const control = new AccountShares();
      const works = Array.from({ length: gateways }, () => new AccountWork());
      return simulateQueues({
        seed,
        gateways,
        slots,
        traffic,
        end: 8000,
        createQueue: (gateway) => {
          const weightOf = (account: string, now: number): number => {
            return works[gateway]?.readShare(account, now) ?? 1;
          };
          return new UrgencyQueue({ expectedStart: () => startTime, weightOf });
        },
        onArrival: (gateway, { account, tokens }, now) => {
          const work = works[gateway];
          work?.note(account, tokens);
          if (isControlHeard) {
            control.record(`${gateway}`, work?.takeReport() ?? new Map(), now);
            work?.applyShares(control.list(`${gateway}`, now), now);
          }
        },
      });
    });
    return shareOf(
      of(calls, ({ account }) => account === concentrated),
      isServed,
    );
  }

  /** Guards against an account that is taken for a large one because all of its requests come to one gateway. */
  it('are served by their work at all gateways', () => {
    expect(measureServed(true)).toBeGreaterThan(measureServed(false) + 0.1);
  });
});
