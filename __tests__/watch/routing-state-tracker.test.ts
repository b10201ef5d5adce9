import { describe, expect, it } from 'vitest';

import type { EngineGroup, Instance } from '../../src/routing/index.js';
import { RoutingStateTracker, type RoutingEvent } from '../../src/watch/index.js';
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
const status = {
  type: 'sign',
  isFresh: true,
  leader: '10.0.0.9:1',
  voters: ['10.0.0.9:1'],
} as const;

function createTracker(events: readonly RoutingEvent[]): RoutingStateTracker {
  const tracker = new RoutingStateTracker();
  events.forEach((event) => tracker.handle(event));
  return tracker;
}

function createDocumentEvent(version: number): RoutingEvent {
  return { type: 'document', document: createDocument({ version }) };
}

describe('routing state tracker', () => {
  it('applies a state only once it is complete', () => {
    const tracker = createTracker([
      { type: 'connected' },
      createDocumentEvent(7),
      { type: 'instance', index: 5, instance },
    ]);
    expect(tracker.read().instances.size).toBe(0);
    tracker.handle({ type: 'synchronized', index: 5, version: 7 });
    expect(tracker.read().instances.get('i-1')).toEqual(instance);
  });

  it('never reverts to an older document', () => {
    const tracker = createTracker([
      { type: 'connected' },
      createDocumentEvent(7),
      { type: 'synchronized', index: 5, version: 7 },
      { type: 'connected' },
    ]);
    expect(tracker.handle(createDocumentEvent(6))).toBe('leave');
    expect(tracker.read().table?.document.version).toBe(7);
  });

  /**
   * Failure: a gateway sends requests to a group that no longer exists. Its control host was partitioned; the next one that it connects
   * to lags even more, and the complete state of that one replaces the newer state.
   */
  it('leaves a control host whose complete state is older than the current one', () => {
    const tracker = createTracker([
      { type: 'connected' },
      { type: 'synchronized', index: 9, version: 0 },
      { type: 'connected' },
      { type: 'engineGroup', index: 5, group },
    ]);
    expect(tracker.handle({ type: 'synchronized', index: 5, version: 0 })).toBe('leave');
    expect(tracker.read().engineGroups.size).toBe(0);
  });

  it('is confirmed only by an up-to-date control host, and only once the state is complete', () => {
    const tracker = createTracker([{ type: 'connected' }, { ...status, now: 100 }]);
    expect(tracker.read().confirmedAt).toBeUndefined();
    tracker.handle({ type: 'synchronized', index: 5, version: 0 });
    tracker.handle({ ...status, now: 200 });
    expect(tracker.read().confirmedAt).toBe(200);
    expect(tracker.handle({ ...status, isFresh: false, now: 300 })).toBe('leave');
    expect(tracker.read().confirmedAt).toBe(200);
  });
});
