import { describe, expect, it } from 'vitest';

import { simulateDomains } from './domain-simulation.js';
import type { DomainOptions, DomainPolicy, DomainResult } from './domain-types.js';

const groups: DomainOptions = {
  seed: 1,
  policy: 'time',
  gateways: 16,
  upstreams: 'groups',
  count: 9,
  rates: [50, 32, 18],
  delay: 4.5,
  objective: 300,
  duration: 12_000,
};
const instances: DomainOptions = {
  ...groups,
  upstreams: 'instances',
  count: 4,
  rates: [40, 25, 15],
};
const policies: readonly DomainPolicy[] = ['time', 'load', 'nearest'];

function comparePolicies(options: DomainOptions): readonly (DomainResult & { share: number })[] {
  return policies.map((policy) => {
    const result = simulateDomains({ ...options, policy });
    return { ...result, share: result.inTime / result.requests };
  });
}

function isAbout(share: number, other: number): boolean {
  return share > other - 0.005;
}

describe('the choice between failure domains that are far apart', () => {
  // Guards against requests that cross domains though their own one serves them in time.
  it.each([
    ['groups', groups],
    ['instances', instances],
  ])('stays in the own domain while that meets the objective: %s', (_, options) => {
    const [time, load] = comparePolicies(options);
    expect(time?.abroad).toBeLessThan(0.03 * (time?.sent ?? 0));
    expect(load?.abroad).toBeGreaterThan(0.5 * (load?.sent ?? 0));
    expect(isAbout(time?.share ?? 0, load?.share ?? 1)).toBe(true);
  });

  // Guards against late requests of a domain with more demand than its groups serve in time, while others have places.
  it('uses other domains before requests of a crowded one are late', () => {
    const [time, load, nearest] = comparePolicies({ ...groups, rates: [85, 25, 10] });
    expect(time?.late).toBeLessThan(0.5 * (nearest?.late ?? 0));
    expect(isAbout(time?.share ?? 0, load?.share ?? 1)).toBe(true);
    expect(time?.abroad).toBeLessThan(0.3 * (time?.sent ?? 0));
  });

  // Guards against callers of a domain whose groups are all lost.
  it('uses other domains when the own one is lost', () => {
    const [time] = comparePolicies({ ...groups, rates: [35, 35, 30], lostDomain: 0 });
    expect(time?.share).toBeGreaterThan(0.98);
  });

  // Guards against a slow upstream that gets its share of the requests and answers them late.
  it.each([
    ['groups', { ...groups, slowdown: 3 }, 0.5],
    ['instances', { ...instances, slowdown: 4 }, 0.6],
  ])('gives a slow upstream what it serves in time: %s', (_, options, part) => {
    const [time, , nearest] = comparePolicies(options);
    expect(time?.late).toBeLessThan(part * (nearest?.late ?? 0));
    expect(time?.sentTo[0]).toBeGreaterThan(0);
  });

  // Guards against an upstream that attracts requests because it fails them quickly.
  it.each([
    ['groups', { ...groups, failures: 0.4 }],
    ['instances', { ...instances, failures: 0.4 }],
  ])('gives an upstream that fails requests fewer of them: %s', (_, options) => {
    const [time, load] = comparePolicies(options);
    expect(time?.sentTo[1]).toBeLessThan(0.6 * (load?.sentTo[1] ?? 0));
    expect(time?.sentTo[1]).toBeGreaterThan(0);
  });

  // Guards against a change on deployments whose domains are close, or that declare no delays.
  it('is by load alone below a delay of two milliseconds', () => {
    const close = { ...groups, delay: 1.9, slowdown: 3, failures: 0.2 };
    expect(simulateDomains(close)).toEqual(simulateDomains({ ...close, policy: 'load' }));
  });
});
