import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { Announcement, Instance } from '../../src/routing/index.js';
import { TestLeader } from './test-leader.js';

/**
 * Random histories of instances that start, start again under their id, leave, speak late, and of others that write in their name,
 * while the leader changes. Symptom of a failure here: requests go where nobody runs, or a sound instance gets none.
 */

const runs = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? '300');
const ids = ['i-0', 'i-1', 'i-2'] as const;
/** Instances speak about once a second. */
const beatInterval = 1200;
const settlingTime = 12_000;
/** Announcements come this late at most. */
const longestDelay = 5000;

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
  beatAt: number;
}

class World {
  readonly #running = new Map<string, Running>();
  /** All that was ever said, to be heard again late. */
  readonly #said: { readonly announcement: Announcement; readonly at: number }[] = [];
  /** Highest start recorded so far, by id; it may not go back. */
  readonly #recorded = new Map<string, number>();
  /** Starts that said they leave, as `id@start`. */
  readonly #left = new Set<string>();
  readonly #leader = new TestLeader((instances) => {
    this.#checkStarts(instances);
  });
  #now = 0;

  play(steps: readonly Step[]): void {
    ids.forEach((_, each) => {
      this.#start(each);
    });
    steps.forEach((each) => {
      this.#take(each);
    });
    this.#wait(settlingTime);
    this.#checkSound();
  }

  #take(each: Step): void {
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
        this.#repeat(each.draw);
        return;
      case 'foreign':
        this.#write(each.index, each.draw);
        return;
      case 'leader':
        this.#leader.change();
        return;
      case 'snapshot':
        this.#leader.restore();
        return;
      case 'wait':
        this.#wait(each.duration);
    }
  }

  /** Crashes what runs under the id, and starts it again, by turns at another address. */
  #start(each: number): void {
    const id = ids[each] ?? '';
    // No two starts of one instance fall into the same millisecond.
    this.#now += 1;
    const startedAt = 1_000_000 + this.#now;
    const address = `10.0.${each}.${this.#now % 2}:80`;
    this.#running.set(id, { startedAt, address, sequence: 0, isDraining: false, beatAt: 0 });
    this.#beat(id);
  }

  #leave(each: number): void {
    const id = ids[each] ?? '';
    const running = this.#running.get(id);
    if (running !== undefined) {
      this.#running.delete(id);
      this.#left.add(`${id}@${running.startedAt}`);
      this.#say({ type: 'leaving', id, startedAt: running.startedAt });
    }
  }

  #drain(each: number): void {
    const running = this.#running.get(ids[each] ?? '');
    if (running !== undefined) {
      running.isDraining = true;
      this.#beat(ids[each] ?? '');
    }
  }

  #repeat(drawn: number): void {
    const recent = this.#said.filter(({ at }) => this.#now - at <= longestDelay);
    const late = recent[drawn % Math.max(1, recent.length)];
    if (late !== undefined) {
      this.#hear(late.announcement);
    }
  }

  /** What somebody else could write under an id or at an address: no start, or a service that nobody declared. */
  #write(each: number, drawn: number): void {
    const id = ids[each] ?? '';
    const address = this.#running.get(id)?.address ?? '10.9.9.9:80';
    const base = { service: 'desk', address, failureDomain: 'a', isDraining: drawn % 2 === 0 };
    const written: readonly Instance[] = [
      { ...base, id },
      { ...base, id: 'i-foreign', startedAt: 2_000_000, service: 'nobody' },
      { ...base, id, startedAt: 9_000_000, service: 'nobody' },
    ];
    const instance = written[drawn % written.length];
    if (instance !== undefined) {
      this.#hear({ type: 'present', instance, sequence: 1_000_000 });
    }
  }

  #wait(duration: number): void {
    const end = this.#now + duration;
    while (this.#now < end) {
      this.#now += Math.min(100, end - this.#now);
      for (const [id, { beatAt }] of this.#running) {
        if (this.#now - beatAt >= beatInterval) {
          this.#beat(id);
        }
      }
      this.#leader.dropSilent(this.#now);
    }
  }

  #beat(id: string): void {
    const running = this.#running.get(id);
    if (running === undefined) {
      return;
    }
    running.sequence += 1;
    running.beatAt = this.#now;
    const { startedAt, address, isDraining, sequence } = running;
    const instance = { id, startedAt, service: 'desk', address, failureDomain: 'a', isDraining };
    this.#say({ type: 'present', instance, sequence });
  }

  #say(announcement: Announcement): void {
    this.#said.push({ announcement, at: this.#now });
    this.#hear(announcement);
  }

  #hear(announcement: Announcement): void {
    this.#leader.take(announcement, this.#now);
  }

  /** One instance an id by the map; never an earlier start, and none that left. */
  #checkStarts(instances: readonly Instance[]): void {
    for (const { id, startedAt = 0 } of instances) {
      expect(startedAt).toBeGreaterThanOrEqual(this.#recorded.get(id) ?? 0);
      expect(this.#left.has(`${id}@${startedAt}`)).toBe(false);
      this.#recorded.set(id, startedAt);
    }
  }

  #checkSound(): void {
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
  it('never bring back an earlier start, and lose no sound instance to late or foreign words', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
        new World().play(steps);
      }),
      { numRuns: runs, seed: 20_261 },
    );
  });
});
