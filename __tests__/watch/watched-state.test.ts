import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import { emptyConfiguration } from '../../src/configuration/index.js';
import type { WatchedGroup } from '../../src/model/index.js';
import { ReconnectBackoff, WatchedStateTracker, type WatchEvent } from '../../src/watch/index.js';

const seed = 20_261_202;
/** Spreads the seeds like those of real processes: random sources with adjacent seeds start with nearly the same number. */
const seedStep = 0x9e3779b1;
const numRuns = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? 1000);

/** State of one control host on a new connection; its log index determines what it sends. */
interface ControlHostState {
  /** Number of applied commands; each produces one revision and one placement. */
  readonly index: number;
  /** Number of messages that arrive before the connection breaks. */
  readonly deliveredMessages: number;
  readonly isFresh: boolean;
}

const controlHostState: fc.Arbitrary<ControlHostState> = fc.record({
  index: fc.integer({ min: 1, max: 12 }),
  deliveredMessages: fc.integer({ min: 0, max: 5 }),
  isFresh: fc.boolean(),
});

function createGroup(fencingNumber: number): WatchedGroup {
  const members = [{ host: 'llm-1', address: '10.0.0.1:8500', incarnation: 'one' }];
  const offer = { type: 'service', service: 'desk' } as const;
  const group = { name: 'desk/1', declaration: 'desk', members, offer, isDraining: false };
  return { group: { ...group, fencingNumber }, isServing: true };
}

/** What a control host sends on a new connection, followed by its next change. */
function createEvents({
  index,
  deliveredMessages,
  isFresh,
}: ControlHostState): readonly WatchEvent[] {
  const events: readonly WatchEvent[] = [
    { type: 'configuration', revision: index, configuration: emptyConfiguration },
    { type: 'group', index, group: createGroup(index) },
    { type: 'synchronized', index },
    { type: 'heartbeat', index, isFresh },
    { type: 'group', index: index + 1, group: createGroup(index + 1) },
  ];
  return [{ type: 'connected' }, ...events.slice(0, deliveredMessages)];
}

describe('watched state', () => {
  // Failure: an accepted change is reverted at one gateway. Its watch breaks, it connects to a control host that was partitioned for
  // a long time and sends an older state, and the gateway applies whatever the newest connection sends.
  it('never reverts, whichever control hosts it is received from', () => {
    fc.assert(
      fc.property(fc.array(controlHostState, { maxLength: 8 }), (controlHostStates) => {
        const tracker = new WatchedStateTracker();
        let revision = 0;
        let fencingNumber = 0;
        for (const event of controlHostStates.flatMap(createEvents)) {
          tracker.handle(event);
          const state = tracker.read();
          const newest = state.groups.get('desk/1')?.group.fencingNumber ?? fencingNumber;
          expect(state.revision).toBeGreaterThanOrEqual(revision);
          expect(newest).toBeGreaterThanOrEqual(fencingNumber);
          revision = state.revision;
          fencingNumber = newest;
        }
      }),
      { seed, numRuns },
    );
  });

  it('leaves a control host that lags or has lost its quorum', () => {
    const tracker = new WatchedStateTracker();
    createEvents({ index: 5, deliveredMessages: 3, isFresh: true }).forEach((event) =>
      tracker.handle(event),
    );
    expect(tracker.handle({ type: 'heartbeat', index: 5, isFresh: false })).toBe('leave');
    tracker.handle({ type: 'connected' });
    const older = {
      type: 'configuration',
      revision: 4,
      configuration: emptyConfiguration,
    } as const;
    expect(tracker.handle(older)).toBe('leave');
    expect(tracker.handle({ type: 'synchronized', index: 4 })).toBe('leave');
    expect(tracker.read()).toMatchObject({ revision: 5, isSynchronized: true });
  });
});

describe('reconnect delays', () => {
  it('grow to a maximum while no connection is useful, and start again after a useful one', () => {
    const backoff = new ReconnectBackoff(createRandomSource(seed));
    const delays = Array.from({ length: 20 }, () => backoff.next());
    expect(delays[0]).toBeLessThanOrEqual(200);
    expect(Math.max(...delays)).toBeLessThanOrEqual(5000);
    expect(Math.min(...delays.slice(10))).toBeGreaterThanOrEqual(2500);
    backoff.reset();
    expect(backoff.next()).toBeLessThanOrEqual(200);
  });

  it('differ between clients, so that they do not reconnect at the same moment', () => {
    const delays = Array.from({ length: 100 }, (_, client) =>
      new ReconnectBackoff(createRandomSource(Math.imul(client, seedStep))).next(),
    );
    expect(new Set(delays.map((delay) => Math.round(delay / 10))).size).toBeGreaterThan(8);
  });
});
