import { describe, expect, it } from 'vitest';

import { DemandEstimator, InstanceTracker, LoadBudget } from '../../src/control/routing/index.js';
import { initialRoutingState, type RoutingState } from '../../src/control/state/index.js';
import type { Announcement, Instance } from '../../src/routing/index.js';
import { engineProfile } from '../routing/documents.js';

const instance: Instance = {
  id: 'i-1',
  service: 'desk',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  isDraining: false,
};

function announce(sequence: number, changes: Partial<Instance> = {}): Announcement {
  return { type: 'present', instance: { ...instance, ...changes }, sequence };
}

function createState(...instances: readonly Instance[]): RoutingState {
  return { ...initialRoutingState, instances: new Map(instances.map((each) => [each.id, each])) };
}

describe('announcements of instances', () => {
  it('are recorded only when they say something new', () => {
    const tracker = new InstanceTracker();
    expect(tracker.handleAnnouncement(announce(1), createState(), 0).type).toBe('record');
    expect(tracker.handleAnnouncement(announce(2), createState(instance), 100).type).toBe('known');
    expect(
      tracker.handleAnnouncement(announce(3, { isDraining: true }), createState(instance), 200),
    ).toMatchObject({
      type: 'record',
      changes: { present: [{ isDraining: true }] },
    });
  });

  /**
   * Guards against a draining instance that gets requests again because an announcement from before the drain arrives late and is
   * taken as new.
   */
  it('that come late do not take a drain back', () => {
    const tracker = new InstanceTracker();
    const draining = { ...instance, isDraining: true };
    tracker.handleAnnouncement(announce(5, { isDraining: true }), createState(instance), 0);
    expect(tracker.handleAnnouncement(announce(4), createState(draining), 100).type).toBe('known');
    expect(
      new InstanceTracker().handleAnnouncement(announce(4), createState(draining), 100).type,
    ).toBe('known');
  });

  it('of retired instances change nothing', () => {
    const state: RoutingState = {
      ...createState(),
      departed: [{ id: 'i-1', reason: 'left' }],
    };
    expect(new InstanceTracker().handleAnnouncement(announce(9), state, 0).type).toBe('retired');
  });

  it('tell which instances are silent; a new leader begins to count anew', () => {
    const tracker = new InstanceTracker();
    const state = createState(instance);
    expect(tracker.findSilent(state, 100_000, 5000)).toEqual([]);
    expect(tracker.findSilent(state, 105_001, 5000)).toEqual([{ id: 'i-1' }]);
    tracker.handleAnnouncement(announce(1), state, 105_002);
    expect(tracker.findSilent(state, 106_000, 5000)).toEqual([]);
  });

  /**
   * Guards against a service without an upstream although all of its instances run and are reachable. A partition kept their
   * announcements from control, which took each of them for gone after 5 s. If all instances of a service are silent, a network
   * failure is more likely than the failure of all instances.
   */
  it('give up a silent instance only while another one of its service is heard', () => {
    const tracker = new InstanceTracker();
    const [second, other] = [
      { ...instance, id: 'i-2', address: '10.0.0.2:80' },
      { ...instance, id: 'i-3', service: 'other', address: '10.0.0.3:80' },
    ];
    const state = createState(instance, second, other);
    expect(tracker.findRemovable(state, 0, 5000)).toEqual([]);
    tracker.handleAnnouncement(announce(1, other), state, 5000);
    expect(tracker.findRemovable(state, 5001, 5000)).toEqual([]);
    tracker.handleAnnouncement(announce(1, second), state, 6000);
    expect(tracker.findRemovable(state, 6001, 5000)).toEqual([{ id: 'i-1' }]);
  });
});

describe('demand', () => {
  it('is evened out over time and summed over gateways', () => {
    const tracker = new DemandEstimator();
    expect(tracker.estimate(0).size).toBe(0);
    tracker.recordReport('g1', new Map([['small', 10]]), 0);
    tracker.recordReport('g2', new Map([['small', 4]]), 0);
    expect(tracker.estimate(100).get('small')).toBe(14);
    tracker.recordReport('g1', new Map([['small', 0]]), 500);
    const evened = tracker.estimate(500).get('small') ?? 0;
    expect(evened).toBeGreaterThan(4);
    expect(evened).toBeLessThan(14);
  });

  it('rises sooner than it falls', () => {
    const tracker = new DemandEstimator();
    tracker.recordReport('g1', new Map([['small', 4]]), 0);
    expect(tracker.estimate(0).get('small')).toBe(4);
    tracker.recordReport('g1', new Map([['small', 20]]), 1500);
    const risen = tracker.estimate(1500).get('small') ?? 0;
    expect(risen).toBeGreaterThan(14);
    tracker.recordReport('g1', new Map([['small', 4]]), 3000);
    expect(tracker.estimate(3000).get('small')).toBeGreaterThan(10);
  });

  /**
   * Guards against callers of one model that wait for seconds after a partition heals. Three of seven gateways were partitioned from
   * control. Until their callers had reached other gateways, the reported demand was half of the real one, and groups of that model
   * were given to another model. When demand was kept for 9 s instead, those callers were counted twice, and the other model lost its
   * groups.
   */
  it('keeps most of the demand of gateways that are cut off, and counts no caller twice', () => {
    const tracker = new DemandEstimator();
    tracker.recordReport('g1', new Map([['small', 10]]), 0);
    tracker.recordReport('g2', new Map([['small', 10]]), 0);
    expect(tracker.estimate(0).get('small')).toBe(20);
    for (let now = 500; now <= 5000; now += 500) {
      tracker.recordReport('g2', new Map([['small', 10]]), now);
      expect(tracker.estimate(now).get('small')).toBeGreaterThan(16);
    }
    for (let now = 5500; now <= 9000; now += 500) {
      tracker.recordReport('g2', new Map([['small', 20]]), now);
      expect(tracker.estimate(now).get('small')).toBeLessThanOrEqual(20);
    }
  });

  /**
   * Guards against a new leader that drains groups of a model that needs them. Only one gateway had reported to it, so there seemed to
   * be no demand for the model.
   */
  it('is settled once all gateways have had the time to report', () => {
    const tracker = new DemandEstimator();
    expect(tracker.isSettled(5000)).toBe(false);
    tracker.recordReport('g1', new Map([['small', 10]]), 5000);
    expect(tracker.isSettled(5500)).toBe(false);
    expect(tracker.isSettled(6500)).toBe(true);
    tracker.clear();
    expect(tracker.isSettled(7000)).toBe(false);
    expect(tracker.estimate(7000).size).toBe(0);
  });

  /**
   * Guards against a service with twenty gateways getting two and a half times as many retries as its limit allows. Each gateway used
   * an eighth of the limit, regardless of the number of gateways.
   */
  it('tells how many gateways share the bounds, also while one is cut off', () => {
    const tracker = new DemandEstimator();
    tracker.recordReport('g1', new Map(), 0);
    tracker.recordReport('g2', new Map([['small', 10]]), 0);
    expect(tracker.countGateways(0)).toBe(0);
    expect(tracker.countGateways(1500)).toBe(2);
    tracker.recordReport('g2', new Map([['small', 10]]), 30_000);
    expect(tracker.countGateways(30_000)).toBe(2);
    expect(tracker.countGateways(61_000)).toBe(1);
  });

  it('tells each gateway its place in an order that all agree on', () => {
    const tracker = new DemandEstimator();
    ['g2', 'g1', 'g3'].forEach((gateway) => {
      tracker.recordReport(gateway, new Map(), 0);
    });
    expect(['g1', 'g2', 'g3'].map((gateway) => tracker.findPosition(gateway))).toEqual([0, 1, 2]);
  });

  it('is not settled by gateways that nobody asks for a model', () => {
    const tracker = new DemandEstimator();
    tracker.recordReport('g1', new Map(), 0);
    expect(tracker.isSettled(5000)).toBe(false);
  });

  it('forgets gateways that are gone', () => {
    const tracker = new DemandEstimator();
    tracker.recordReport('g1', new Map([['small', 10]]), 0);
    expect(tracker.estimate(10_000).size).toBe(0);
  });
});

describe('the budget of loads', () => {
  it('keeps the rate of the store and the loads that run beside each other', () => {
    const budget = new LoadBudget();
    expect(budget.countAllowed(engineProfile, 0)).toBe(6);
    for (let load = 0; load < 6; load += 1) {
      budget.recordOrdered({ host: `h${load}`, model: 'large' }, 0);
    }
    expect(budget.countAllowed(engineProfile, 1000)).toBe(0);
    expect(budget.countAllowed(engineProfile, 17_000)).toBe(0);
    expect(budget.countAllowed(engineProfile, 24_000)).toBe(6);
  });

  /**
   * Guards against empty engines that wait for seconds before their weights are ordered. Loads that had finished, or whose engine was
   * lost, counted as in progress for the duration of the longest load.
   */
  it('has room again as soon as a load is over, and still keeps the rate', () => {
    const budget = new LoadBudget();
    for (let load = 0; load < 6; load += 1) {
      budget.recordOrdered({ host: `h${load}`, model: 'small' }, 0);
    }
    budget.updateFinished(({ host }) => host !== 'h1' && host !== 'h4');
    const slowStore = { ...engineProfile, loadsPerSecond: 1.2 };
    expect(budget.countAllowed(slowStore, 4000)).toBe(0);
    expect(budget.countAllowed(engineProfile, 6000)).toBe(2);
  });
});
