import { describe, expect, it } from 'vitest';

import { DrainController } from '../../src/sidecar/drain/index.js';

function typesOf(effects: readonly { readonly type: string }[]): readonly string[] {
  return effects.map(({ type }) => type);
}

describe('graceful shutdown', () => {
  it('refuses new work at once, finishes running work, releases leases, then leaves', () => {
    const drain = new DrainController(Infinity);
    drain.handle({ type: 'workChanged', now: 0, running: 2 });
    drain.handle({ type: 'holdChanged', now: 0, isHeld: true });
    expect(typesOf(drain.handle({ type: 'stopRequested', now: 10 }))).toEqual([
      'refuseNewWork',
      'wake',
    ]);
    expect(drain.handle({ type: 'workChanged', now: 20, running: 1 })).toEqual([]);
    expect(typesOf(drain.handle({ type: 'workChanged', now: 30, running: 0 }))).toEqual([
      'dissolveGroups',
    ]);
    expect(typesOf(drain.handle({ type: 'holdChanged', now: 40, isHeld: false }))).toEqual([
      'leave',
    ]);
    expect(drain.state).toBe('left');
  });

  it('waits while leads on other hosts still hold a lease on this host', () => {
    const drain = new DrainController(Infinity);
    drain.handle({ type: 'holdChanged', now: 0, isHeld: true });
    drain.handle({ type: 'workChanged', now: 0, running: 0 });
    expect(typesOf(drain.handle({ type: 'stopRequested', now: 0 }))).toContain('dissolveGroups');
    expect(drain.handle({ type: 'ticked', now: 3_600_000 })).toEqual([]);
    expect(typesOf(drain.handle({ type: 'holdChanged', now: 3_600_001, isHeld: false }))).toEqual([
      'leave',
    ]);
  });

  it('aborts the remaining attempts only at the hard limit', () => {
    const drain = new DrainController(1000);
    drain.handle({ type: 'workChanged', now: 0, running: 1 });
    drain.handle({ type: 'holdChanged', now: 0, isHeld: false });
    drain.handle({ type: 'stopRequested', now: 0 });
    expect(drain.handle({ type: 'ticked', now: 999 })).toEqual([]);
    expect(typesOf(drain.handle({ type: 'ticked', now: 1000 }))).toEqual(['abortAttempts']);
    expect(typesOf(drain.handle({ type: 'workChanged', now: 1001, running: 0 }))).toEqual([
      'dissolveGroups',
      'leave',
    ]);
  });

  it('does not leave before the running attempts and leases are known', () => {
    // Guards against a sidecar that exits at once and breaks its group with requests in flight: the shutdown is requested before the
    // first count of attempts and leases, and unknown was treated as none.
    const drain = new DrainController(Infinity);
    drain.handle({ type: 'stopRequested', now: 0 });
    expect(drain.state).toBe('draining');
    drain.handle({ type: 'workChanged', now: 1, running: 0 });
    expect(drain.state).toBe('releasingLeases');
  });
});
