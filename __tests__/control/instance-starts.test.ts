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
   * Guards against a restarted instance that gets no requests for as long as its previous run lasted. Its sequence starts again, so
   * its announcements were taken for delayed ones of the previous start, and the instance was removed as silent.
   */
  it('is recorded at once, although its sequence starts again', () => {
    const leader = new TestLeader();
    leader.handleAnnouncement(present(1000, 40), 0);
    expect(leader.handleAnnouncement(present(9000, 1), 100)).toBe('record');
    expect(leader.instances).toMatchObject([{ id: 'i-1', startedAt: 9000 }]);
    leader.handleAnnouncement(present(9000, 2), 4000);
    leader.removeSilent(8000);
    expect(leader.instances).toHaveLength(1);
  });

  it('is another instance after the one before left, drained, fell silent or moved', () => {
    const left = new TestLeader();
    left.handleAnnouncement(present(1000, 1), 0);
    left.handleAnnouncement({ type: 'leaving', id: 'i-1', startedAt: 1000 }, 100);
    expect(left.handleAnnouncement(present(9000, 1), 200)).toBe('record');
    expect(left.instances).toMatchObject([{ startedAt: 9000, isDraining: false }]);

    const drained = new TestLeader();
    drained.handleAnnouncement(present(1000, 1, { isDraining: true }), 0);
    drained.handleAnnouncement(present(9000, 1), 100);
    expect(drained.instances).toMatchObject([{ startedAt: 9000, isDraining: false }]);

    const silent = new TestLeader();
    silent.handleAnnouncement(present(1000, 1), 0);
    silent.removeSilent(6000);
    silent.handleAnnouncement(present(9000, 1), 7000);
    expect(silent.instances).toMatchObject([{ startedAt: 9000 }]);

    const moved = new TestLeader();
    moved.handleAnnouncement(present(1000, 1), 0);
    moved.handleAnnouncement(present(9000, 1, { address: '10.0.0.9:80' }), 100);
    expect(moved.instances).toMatchObject([{ startedAt: 9000, address: '10.0.0.9:80' }]);
  });

  /**
   * Guards against requests to an address where nothing runs. Announcements of the previous start, delayed by a partition, arrive
   * after the new start has registered at another address, possibly at a leader that has heard neither.
   */
  it('is not replaced by delayed announcements of the previous start', () => {
    const leader = new TestLeader();
    leader.handleAnnouncement(present(1000, 1), 0);
    leader.handleAnnouncement(present(9000, 1, { address: '10.0.0.9:80' }), 100);
    expect(leader.handleAnnouncement(present(1000, 7, { isDraining: true }), 200)).toBe('retired');
    leader.replace();
    expect(leader.handleAnnouncement(present(1000, 8), 300)).toBe('retired');
    expect(leader.handleAnnouncement({ type: 'leaving', id: 'i-1', startedAt: 1000 }, 400)).toBe(
      'record',
    );
    expect(leader.instances).toMatchObject([{ startedAt: 9000, isDraining: false }]);
  });

  it('stays removed after it left, despite delayed announcements of that start or earlier ones', () => {
    const leader = new TestLeader();
    leader.handleAnnouncement(present(1000, 1), 0);
    leader.handleAnnouncement(present(9000, 1), 100);
    leader.handleAnnouncement({ type: 'leaving', id: 'i-1', startedAt: 9000 }, 200);
    leader.replace();
    expect(leader.handleAnnouncement(present(9000, 2), 300)).toBe('retired');
    expect(leader.handleAnnouncement(present(1000, 9), 400)).toBe('retired');
    expect(leader.instances).toEqual([]);
  });

  /**
   * Guards against an instance that gets no requests because the clock of its host was set back. Its start time is earlier than that
   * of its predecessor, which looks like a delayed announcement of an earlier start.
   */
  it('is recorded once it has shown that it runs, if the clock of its host was set back', () => {
    const leader = new TestLeader();
    leader.handleAnnouncement(present(9000, 1), 0);
    expect(leader.handleAnnouncement(present(500, 1), 1000)).toBe('retired');
    expect(leader.handleAnnouncement(present(500, 2), 2200)).toBe('retired');
    expect(leader.handleAnnouncement(present(500, 6), 7100)).toBe('record');
    expect(leader.instances).toMatchObject([{ startedAt: 500 }]);
    expect(leader.handleAnnouncement(present(9000, 2), 7200)).toBe('retired');
  });

  it('is rejected despite an earlier start time while the current start still announces itself', () => {
    const leader = new TestLeader();
    for (let now = 0; now <= 20_000; now += 1000) {
      leader.handleAnnouncement(present(9000, now), now);
      expect(leader.handleAnnouncement(present(500, now), now)).toBe('retired');
    }
  });
});

describe('announcements from other writers', () => {
  /**
   * Guards against a healthy instance that no longer gets requests. Another writer announced an instance at its address with an
   * undeclared service, and the healthy instance was taken for replaced.
   */
  it('with an unknown service change nothing', () => {
    const leader = new TestLeader();
    leader.handleAnnouncement(present(1000, 1), 0);
    const foreign = present(2000, 1, { id: 'i-foreign', service: 'nobody' });
    expect(leader.handleAnnouncement(foreign, 100)).toBe('unusable');
    expect(leader.instances).toMatchObject([{ id: 'i-1' }]);
  });

  it('without a start time do not change an instance that has one', () => {
    const leader = new TestLeader();
    leader.handleAnnouncement(present(1000, 1), 0);
    const instance: Instance = {
      id: 'i-1',
      service: 'desk',
      address: '10.0.0.6:80',
      failureDomain: 'a',
      isDraining: true,
    };
    expect(leader.handleAnnouncement({ type: 'present', instance, sequence: 9 }, 100)).toBe(
      'unusable',
    );
    expect(leader.instances).toMatchObject([{ startedAt: 1000, isDraining: false }]);
  });

  /** As above, but with a declared service: no field shows that nothing runs under the other id. */
  it('that claim the address of a healthy instance displace it for a few seconds at most', () => {
    const leader = new TestLeader();
    leader.handleAnnouncement(present(1000, 1), 0);
    leader.handleAnnouncement(present(2000, 1, { id: 'i-foreign' }), 100);
    expect(leader.instances).toMatchObject([{ id: 'i-foreign' }]);
    for (let beat = 1; beat <= 6; beat += 1) {
      leader.handleAnnouncement(present(1000, 1 + beat), beat * 1200);
    }
    expect(leader.instances).toMatchObject([{ id: 'i-1' }]);
  });
});
