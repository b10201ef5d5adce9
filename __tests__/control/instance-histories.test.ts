import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { Announcement, Instance } from '../../src/routing/index.js';
import { TestLeader } from './test-leader.js';

/**
 * Random histories of instances that start, restart under the same id, leave and drain, with delayed announcements, announcements from
 * other writers under their id or address, leader changes and snapshots. A failure means that requests go to an address where nothing
 * runs, or that a healthy instance gets none.
 */

const runs = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? '300');
const ids = ['i-0', 'i-1', 'i-2'] as const;
/** Instances announce themselves about once a second. */
const announceInterval = 1200;
const settlingTime = 12_000;
/** Longest delay of an announcement. */
const maxDelay = 5000;

type Step =
  | { readonly type: 'start' | 'leave' | 'drain'; readonly index: number }
  | { readonly type: 'late'; readonly draw: number }
  | { readonly type: 'foreign'; readonly index: number; readonly draw: number }
  | { readonly type: 'leader' | 'snapshot' }
  | { readonly type: 'wait'; readonly duration: number };

const index = fc.integer({ min: 0, max: ids.length - 1 });
const draw = fc.nat(1_000_000);
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ type: fc.constant('start' as const), index }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('leave' as const), index }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('drain' as const), index }) },
  { weight: 5, arbitrary: fc.record({ type: fc.constant('late' as const), draw }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('foreign' as const), index, draw }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constantFrom('leader' as const, 'snapshot') }) },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('wait' as const),
      duration: fc.integer({ min: 1, max: 8000 }),
    }),
  },
);

interface Running {
  readonly startedAt: number;
  readonly address: string;
  sequence: number;
  isDraining: boolean;
  announcedAt: number;
}

class World {
  readonly #running = new Map<string, Running>();
  /** All announcements sent so far, for delayed delivery. */
  readonly #sent: { readonly announcement: Announcement; readonly at: number }[] = [];
  /** Latest start time recorded for each id; it must not decrease. */
  readonly #recorded = new Map<string, number>();
  /** Starts that announced that they are leaving, as `id@start`. */
  readonly #left = new Set<string>();
  readonly #leader = new TestLeader((instances) => {
    this.#checkStarts(instances);
  });
  #now = 0;

  run(steps: readonly Step[]): void {
    ids.forEach((_, each) => {
      this.#start(each);
    });
    steps.forEach((each) => {
      this.#apply(each);
    });
    this.#wait(settlingTime);
    this.#checkFinalState();
  }

  #apply(each: Step): void {
    switch (each.type) {
      case 'start':
        this.#start(each.index);
        return;
      case 'leave':
        this.#leave(each.index);
        return;
      case 'drain':
        this.#drain(each.index);
        return;
      case 'late':
        this.#deliverLate(each.draw);
        return;
      case 'foreign':
        this.#deliverForeign(each.index, each.draw);
        return;
      case 'leader':
        this.#leader.replace();
        return;
      case 'snapshot':
        this.#leader.restoreFromSnapshot();
        return;
      case 'wait':
        this.#wait(each.duration);
    }
  }

  /** Crashes the running instance with this id and restarts it, alternating between two addresses. */
  #start(each: number): void {
    const id = ids[each] ?? '';
    // Start times of one instance are at least a millisecond apart.
    this.#now += 1;
    const startedAt = 1_000_000 + this.#now;
    const address = `10.0.${each}.${this.#now % 2}:80`;
    this.#running.set(id, { startedAt, address, sequence: 0, isDraining: false, announcedAt: 0 });
    this.#announce(id);
  }

  #leave(each: number): void {
    const id = ids[each] ?? '';
    const running = this.#running.get(id);
    if (running !== undefined) {
      this.#running.delete(id);
      this.#left.add(`${id}@${running.startedAt}`);
      this.#send({ type: 'leaving', id, startedAt: running.startedAt });
    }
  }

  #drain(each: number): void {
    const running = this.#running.get(ids[each] ?? '');
    if (running !== undefined) {
      running.isDraining = true;
      this.#announce(ids[each] ?? '');
    }
  }

  #deliverLate(drawn: number): void {
    const recent = this.#sent.filter(({ at }) => this.#now - at <= maxDelay);
    const late = recent[drawn % Math.max(1, recent.length)];
    if (late !== undefined) {
      this.#deliver(late.announcement);
    }
  }

  /** Announcement from another writer that uses an existing id or address, without a start time or with an undeclared service. */
  #deliverForeign(each: number, drawn: number): void {
    const id = ids[each] ?? '';
    const address = this.#running.get(id)?.address ?? '10.9.9.9:80';
    const base = { service: 'desk', address, failureDomain: 'a', isDraining: drawn % 2 === 0 };
    const candidates: readonly Instance[] = [
      { ...base, id },
      { ...base, id: 'i-foreign', startedAt: 2_000_000, service: 'nobody' },
      { ...base, id, startedAt: 9_000_000, service: 'nobody' },
    ];
    const instance = candidates[drawn % candidates.length];
    if (instance !== undefined) {
      this.#deliver({ type: 'present', instance, sequence: 1_000_000 });
    }
  }

  #wait(duration: number): void {
    const end = this.#now + duration;
    while (this.#now < end) {
      this.#now += Math.min(100, end - this.#now);
      for (const [id, { announcedAt }] of this.#running) {
        if (this.#now - announcedAt >= announceInterval) {
          this.#announce(id);
        }
      }
      this.#leader.removeSilent(this.#now);
    }
  }

  #announce(id: string): void {
    const running = this.#running.get(id);
    if (running === undefined) {
      return;
    }
    running.sequence += 1;
    running.announcedAt = this.#now;
    const { startedAt, address, isDraining, sequence } = running;
    const instance = { id, startedAt, service: 'desk', address, failureDomain: 'a', isDraining };
    this.#send({ type: 'present', instance, sequence });
  }

  #send(announcement: Announcement): void {
    this.#sent.push({ announcement, at: this.#now });
    this.#deliver(announcement);
  }

  #deliver(announcement: Announcement): void {
    this.#leader.handleAnnouncement(announcement, this.#now);
  }

  /** The map holds one instance per id. Checks that no earlier start and no start that left is recorded. */
  #checkStarts(instances: readonly Instance[]): void {
    for (const { id, startedAt = 0 } of instances) {
      expect(startedAt).toBeGreaterThanOrEqual(this.#recorded.get(id) ?? 0);
      expect(this.#left.has(`${id}@${startedAt}`)).toBe(false);
      this.#recorded.set(id, startedAt);
    }
  }

  #checkFinalState(): void {
    const known = this.#leader.instances
      .map(({ id, startedAt, address, isDraining }) => ({ id, startedAt, address, isDraining }))
      .sort((one, other) => one.id.localeCompare(other.id));
    const running = [...this.#running]
      .map(([id, { startedAt, address, isDraining }]) => ({ id, startedAt, address, isDraining }))
      .sort((one, other) => one.id.localeCompare(other.id));
    expect(known).toEqual(running);
  }
}

describe('histories of instances', () => {
  it('never restore an earlier start, and lose no healthy instance to delayed or foreign announcements', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
        new World().run(steps);
      }),
      { numRuns: runs, seed: 20_261 },
    );
  });
});
