import { describe, expect, it } from 'vitest';

import type { EngineGroup, Instance } from '../../src/routing/index.js';
import { RoutingKeeper, type RoutingEvent } from '../../src/watch/index.js';
import { createDocument } from '../routing/documents.js';

const instance: Instance = {
  id: 'i-1',
  service: 'desk',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  isDraining: false,
};
const group: EngineGroup = {
  name: 'small/1',
  fencingNumber: 3,
  service: 'engines',
  model: 'small',
  members: [{ host: 'h', instance: { id: 'i' }, address: '10.0.0.2:80' }],
  phase: 'open',
};
const sign = { type: 'sign', isFresh: true, leader: '10.0.0.9:1', voters: ['10.0.0.9:1'] } as const;

function createKeeper(events: readonly RoutingEvent[]): RoutingKeeper {
  const keeper = new RoutingKeeper();
  events.forEach((event) => keeper.handle(event));
  return keeper;
}

function putVersion(version: number): RoutingEvent {
  return { type: 'document', document: createDocument({ version }) };
}

describe('what a watcher believes of routing', () => {
  it('takes a state only once it is whole', () => {
    const keeper = createKeeper([
      { type: 'connected' },
      putVersion(7),
      { type: 'instance', index: 5, instance },
    ]);
    expect(keeper.read().instances.size).toBe(0);
    keeper.handle({ type: 'synchronized', index: 5, version: 7 });
    expect(keeper.read().instances.get('i-1')).toEqual(instance);
  });

  it('never goes back to an older document', () => {
    const keeper = createKeeper([
      { type: 'connected' },
      putVersion(7),
      { type: 'synchronized', index: 5, version: 7 },
      { type: 'connected' },
    ]);
    expect(keeper.handle(putVersion(6))).toBe('leave');
    expect(keeper.read().table?.document.version).toBe(7);
  });

  /**
   * Symptom: a gateway sends requests to a group that is gone. Its control host was cut off; the next one it finds lags even
   * more, and its whole state replaces the newer one.
   */
  it('leaves a control host whose whole state is older than its own', () => {
    const keeper = createKeeper([
      { type: 'connected' },
      { type: 'synchronized', index: 9, version: 0 },
      { type: 'connected' },
      { type: 'engineGroup', index: 5, group },
    ]);
    expect(keeper.handle({ type: 'synchronized', index: 5, version: 0 })).toBe('leave');
    expect(keeper.read().engineGroups.size).toBe(0);
  });

  it('is vouched for only by a fresh control host, and after its state is whole', () => {
    const keeper = createKeeper([{ type: 'connected' }, { ...sign, now: 100 }]);
    expect(keeper.read().vouchedAt).toBeUndefined();
    keeper.handle({ type: 'synchronized', index: 5, version: 0 });
    keeper.handle({ ...sign, now: 200 });
    expect(keeper.read().vouchedAt).toBe(200);
    expect(keeper.handle({ ...sign, isFresh: false, now: 300 })).toBe('leave');
    expect(keeper.read().vouchedAt).toBe(200);
  });
});
