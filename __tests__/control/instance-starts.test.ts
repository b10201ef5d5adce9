import { describe, expect, it } from 'vitest';

import type { Announcement, Instance } from '../../src/routing/index.js';
import { TestLeader } from './test-leader.js';

function present(
  startedAt: number,
  sequence: number,
  changes: Partial<Instance> = {},
): Announcement {
  const instance: Instance = {
    id: 'i-1',
    startedAt,
    service: 'desk',
    address: '10.0.0.1:80',
    failureDomain: 'a',
    isDraining: false,
    ...changes,
  };
  return { type: 'present', instance, sequence };
}

describe('an instance that starts again under its id', () => {
  /**
   * Symptom: an instance that started again gets no requests for as long as its first life lasted. Its announcements count
   * anew, and were taken for late ones of the start before; meanwhile it was dropped as silent.
   */
  it('is heard at once, though its announcements count anew', () => {
    const leader = new TestLeader();
    leader.take(present(1000, 40), 0);
    expect(leader.take(present(9000, 1), 100)).toBe('record');
    expect(leader.instances).toMatchObject([{ id: 'i-1', startedAt: 9000 }]);
    leader.take(present(9000, 2), 4000);
    leader.dropSilent(8000);
    expect(leader.instances).toHaveLength(1);
  });

  it('is another instance after the one before left, drained, fell silent or moved', () => {
    const left = new TestLeader();
    left.take(present(1000, 1), 0);
    left.take({ type: 'leaving', id: 'i-1', startedAt: 1000 }, 100);
    expect(left.take(present(9000, 1), 200)).toBe('record');
    expect(left.instances).toMatchObject([{ startedAt: 9000, isDraining: false }]);

    const drained = new TestLeader();
    drained.take(present(1000, 1, { isDraining: true }), 0);
    drained.take(present(9000, 1), 100);
    expect(drained.instances).toMatchObject([{ startedAt: 9000, isDraining: false }]);

    const silent = new TestLeader();
    silent.take(present(1000, 1), 0);
    silent.dropSilent(6000);
    silent.take(present(9000, 1), 7000);
    expect(silent.instances).toMatchObject([{ startedAt: 9000 }]);

    const moved = new TestLeader();
    moved.take(present(1000, 1), 0);
    moved.take(present(9000, 1, { address: '10.0.0.9:80' }), 100);
    expect(moved.instances).toMatchObject([{ startedAt: 9000, address: '10.0.0.9:80' }]);
  });

  /**
   * Symptom: requests go to an address where nobody is. A partition held back what the start before had said; it arrives after
   * the new start registered elsewhere, also at a leader that has heard neither.
   */
  it('is not replaced by late words of the start before', () => {
    const leader = new TestLeader();
    leader.take(present(1000, 1), 0);
    leader.take(present(9000, 1, { address: '10.0.0.9:80' }), 100);
    expect(leader.take(present(1000, 7, { isDraining: true }), 200)).toBe('retired');
    leader.change();
    expect(leader.take(present(1000, 8), 300)).toBe('retired');
    expect(leader.take({ type: 'leaving', id: 'i-1', startedAt: 1000 }, 400)).toBe('record');
    expect(leader.instances).toMatchObject([{ startedAt: 9000, isDraining: false }]);
  });

  it('stays gone when it left and words of that start or of earlier ones come late', () => {
    const leader = new TestLeader();
    leader.take(present(1000, 1), 0);
    leader.take(present(9000, 1), 100);
    leader.take({ type: 'leaving', id: 'i-1', startedAt: 9000 }, 200);
    leader.change();
    expect(leader.take(present(9000, 2), 300)).toBe('retired');
    expect(leader.take(present(1000, 9), 400)).toBe('retired');
    expect(leader.instances).toEqual([]);
  });

  /**
   * Symptom: an instance whose host's clock was set back gets no requests. It names an earlier start than the one before it, which
   * looks like a late word of an earlier start.
   */
  it('is taken once it has proved to run, where the clock of its host was set back', () => {
    const leader = new TestLeader();
    leader.take(present(9000, 1), 0);
    expect(leader.take(present(500, 1), 1000)).toBe('retired');
    expect(leader.take(present(500, 2), 2200)).toBe('retired');
    expect(leader.take(present(500, 6), 7100)).toBe('record');
    expect(leader.instances).toMatchObject([{ startedAt: 500 }]);
    expect(leader.take(present(9000, 2), 7200)).toBe('retired');
  });

  it('is not taken for a clock set back while the start that is there still speaks', () => {
    const leader = new TestLeader();
    for (let now = 0; now <= 20_000; now += 1000) {
      leader.take(present(9000, now), now);
      expect(leader.take(present(500, now), now)).toBe('retired');
    }
  });
});

describe('announcements from other writers', () => {
  /**
   * Symptom: a sound instance gets no requests any more. Somebody else announced another one at its address, with a service that
   * nobody declared, and the sound one was taken for replaced.
   */
  it('that name an unknown service change nothing', () => {
    const leader = new TestLeader();
    leader.take(present(1000, 1), 0);
    const foreign = present(2000, 1, { id: 'i-foreign', service: 'nobody' });
    expect(leader.take(foreign, 100)).toBe('unusable');
    expect(leader.instances).toMatchObject([{ id: 'i-1' }]);
  });

  it('that name no start change nothing at an instance that names its starts', () => {
    const leader = new TestLeader();
    leader.take(present(1000, 1), 0);
    const instance: Instance = {
      id: 'i-1',
      service: 'desk',
      address: '10.0.0.6:80',
      failureDomain: 'a',
      isDraining: true,
    };
    expect(leader.take({ type: 'present', instance, sequence: 9 }, 100)).toBe('unusable');
    expect(leader.instances).toMatchObject([{ startedAt: 1000, isDraining: false }]);
  });

  /** Symptom: as above, with a service that is declared: no field shows that nobody runs under the other id. */
  it('that claim the address of a sound instance cost it a few seconds at most', () => {
    const leader = new TestLeader();
    leader.take(present(1000, 1), 0);
    leader.take(present(2000, 1, { id: 'i-foreign' }), 100);
    expect(leader.instances).toMatchObject([{ id: 'i-foreign' }]);
    for (let beat = 1; beat <= 6; beat += 1) {
      leader.take(present(1000, 1 + beat), beat * 1200);
    }
    expect(leader.instances).toMatchObject([{ id: 'i-1' }]);
  });
});
