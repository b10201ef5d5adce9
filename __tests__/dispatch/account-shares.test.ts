import { describe, expect, it } from 'vitest';

import { AccountShares, AccountWork } from '../../src/dispatch/index.js';

const interval = 500;

describe('shares of accounts', () => {
  /** Guards against equal shares for gateways that see different parts of an account's requests. */
  it('follow the work that arises at each gateway', () => {
    const shares = new AccountShares();
    for (let now = 0; now < 10_000; now += interval) {
      shares.record('gateway-1', new Map([['one', 300]]), now);
      shares.record('gateway-2', new Map([['one', 100]]), now);
    }
    expect(shares.list('gateway-1', 10_000).get('one')).toBeCloseTo(0.75);
    expect(shares.list('gateway-2', 10_000).get('one')).toBeCloseTo(0.25);
  });

  /** Guards against shares that still count a gateway which was lost, so that the others serve too little of its accounts. */
  it('pass to the other gateways when one is lost', () => {
    const shares = new AccountShares();
    shares.record('lost', new Map([['one', 1000]]), 0);
    for (let now = 0; now < 20_000; now += interval) {
      shares.record('stays', new Map([['one', 100]]), now);
    }
    expect(shares.list('stays', 20_000).get('one')).toBeGreaterThan(0.9);
  });

  /** Guards against shares from reports to an earlier leader. */
  it('are unknown after the leader has changed', () => {
    const shares = new AccountShares();
    shares.record('gateway-1', new Map([['one', 100]]), 0);
    shares.clear();
    expect(shares.list('gateway-1', 0).size).toBe(0);
  });

  /** Guards against weights that are out of date: the gateway was cut off from control. */
  it('are replaced by what the gateway observes itself while control is not heard', () => {
    const work = new AccountWork();
    work.applyShares(new Map([['one', 0.25]]), 0);
    expect(work.readShare('one', 2000)).toBe(0.25);
    expect(work.readShare('other', 2000)).toBe(1);
    expect(work.readShare('one', 4000)).toBe(1);
  });

  /** Guards against reports that grow with the number of accounts. */
  it('are asked for the accounts with the most work only', () => {
    const work = new AccountWork();
    for (let index = 0; index < 1000; index += 1) {
      work.note(`account-${index}`, index);
    }
    const report = [...work.takeReport().keys()];
    expect(report).toHaveLength(256);
    expect(report[0]).toBe('account-999');
    expect(work.takeReport().size).toBe(0);
  });
});
