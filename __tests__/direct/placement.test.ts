import { describe, expect, it } from 'vitest';

import { choosePreferredTargets } from '../../src/dispatch/index.js';
import { simulatePlacement, type PlacementOptions } from './placement-simulation.js';

type Layout = Pick<PlacementOptions, 'gateways' | 'heads'>;

const tens: Layout = { gateways: 46, heads: 35 };
const usual = { seed: 1, load: 0.7, burst: 1, duration: 10_000, knowPositions: true };

function listKeys(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `small/${index}`);
}

describe('the heads that a gateway prefers', () => {
  // Guards against requests that wait at some heads while others have free capacity, and connections from every gateway to every head.
  // Tens of gateways share tens of heads; each sends a given head a request every few seconds, so its load information is outdated.
  it.each([0.7, 0.85])('are filled evenly by tens of gateways at a load of %s', (load) => {
    const unplaced = simulatePlacement({ ...usual, ...tens, load, knowPositions: false });
    const placed = simulatePlacement({ ...usual, ...tens, load });
    expect(placed.requests).toBe(unplaced.requests);
    expect(placed.avoidablyQueued).toBeLessThan(unplaced.avoidablyQueued);
    expect(placed.imbalance).toBeLessThan(unplaced.imbalance);
    expect(placed.pairs).toBeLessThan(unplaced.pairs / 2);
  });

  it('are all heads if few gateways share few heads, or while the position is unknown', () => {
    const keys = listKeys(4);
    expect([...choosePreferredTargets(keys, { gateways: 3, position: 2 })].sort()).toEqual(keys);
    expect([...choosePreferredTargets(listKeys(35), undefined)]).toHaveLength(35);
  });

  it.each([
    [10, 20],
    [46, 35],
    [46, 70],
    [120, 35],
    [200, 300],
  ])('cover each head about as often as any other: %s gateways, %s heads', (gateways, heads) => {
    const keys = listKeys(heads);
    const counts = new Map(keys.map((key) => [key, 0]));
    for (let position = 0; position < gateways; position += 1) {
      for (const key of choosePreferredTargets(keys, { gateways, position })) {
        counts.set(key, (counts.get(key) ?? 0) + 1);
      }
    }
    const all = [...counts.values()];
    const mean = all.reduce((sum, count) => sum + count, 0) / heads;
    expect(Math.max(...all)).toBeLessThanOrEqual(2 * mean);
    expect(Math.min(...all)).toBeGreaterThanOrEqual(mean / 3);
  });
});

// Guards against a burst in which all responses are late, hardly a request is refused, and callers leave requests that wait for seconds in the
// queue of a head. More requests arrive than all heads can run. The load that a head had reported expired within a second, so each gateway
// sent its waiting requests to full heads.
describe('a burst beyond the capacity of all heads', () => {
  const burst = { ...usual, burst: 1.6, duration: 30_000 };
  const layouts: readonly Layout[] = [{ gateways: 8, heads: 4 }, { gateways: 17, heads: 7 }, tens];

  it.each(layouts)('makes few responses late: $gateways gateways, $heads heads', (layout) => {
    const { requests, inTime, late, refused } = simulatePlacement({ ...burst, ...layout });
    // The fraction that all slots can serve; a tenth is allowed for what gateways cannot know.
    const possible = (usual.load + 1 + usual.load) / (usual.load * (1 + burst.burst + 1));
    expect(inTime / requests).toBeGreaterThan(0.9 * possible);
    expect(late).toBeLessThan(refused);
  });

  it.each(layouts)(
    'does not let queues grow at heads: $gateways gateways, $heads heads',
    (layout) => {
      // Fewer than the slots of a head.
      expect(simulatePlacement({ ...burst, ...layout }).longestQueue).toBeLessThan(24);
    },
  );

  // Guards against a burst in which most responses are late though the slots of all heads are in use: each of many gateways sent a probe to
  // each full head every 0.3 s, and the probes waited there longer than the objective.
  it.each([
    { gateways: 17, heads: 5, burst: 1.6 },
    { gateways: 17, heads: 5, burst: 2.2 },
    { gateways: 17, heads: 2, burst: 1.6 },
  ])(
    'keeps what can be served in time: $gateways gateways, $heads heads, $burst times the load',
    (layout) => {
      const { requests, inTime } = simulatePlacement({
        ...usual,
        ...layout,
        duration: 30_000,
        objective: 300,
      });
      const load = usual.load * layout.burst;
      const possible = (usual.load * 2 + Math.min(1, load)) / (usual.load * 2 + load);
      expect(inTime / requests).toBeGreaterThan(0.9 * possible);
    },
  );
});

// Guards against requests that are refused at the gateway which gets most of them, while upstreams that it does not prefer have free slots.
describe('a gateway that gets most of the requests for a while', () => {
  it.each([
    { gateways: 8, heads: 4 },
    { gateways: 17, heads: 7 },
    { gateways: 21, heads: 15 },
    tens,
  ])('has them served as before: $gateways gateways, $heads heads', (layout) => {
    for (const load of [0.5, 0.8]) {
      for (const concentration of [0.5, 0.9]) {
        const options = { ...usual, ...layout, load, concentration, duration: 30_000 };
        const { before, during } = simulatePlacement(options).inTimeShares;
        expect(during, `load ${load}, share ${concentration}`).toBeGreaterThan(0.75 * before);
      }
    }
  });
});
