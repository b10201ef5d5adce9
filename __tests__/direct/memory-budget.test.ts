import { describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import { MemoryBudget, type MemoryRelief } from '../../src/dispatch/index.js';

const limit = 1_000_000;
const reviewInterval = 50;
/** Backlog above which a gateway stops reading for a caller without any budget. */
const ownBacklogLimit = 64 * 1024;
/** Bytes that arrive for one caller between two reviews. */
const chunk = 16 * 1024;

interface Caller {
  readonly key: number;
  /** Bytes that it takes between two reviews. */
  readonly speed: number;
  backlog: number;
  isPaused: boolean;
}

interface Run {
  readonly peak: number;
  readonly totals: readonly number[];
  readonly reliefs: readonly (MemoryRelief<number> & { readonly at: number })[];
}

/** Simulates callers whose upstreams send faster than some of them read; new callers replace those that are closed. */
function simulate(seed: number, speeds: readonly number[], duration: number): Run {
  const random = createRandomSource(seed);
  const budget = new MemoryBudget<number>(limit);
  const createCaller = (key: number, speed: number): Caller => {
    return { key, speed, backlog: 0, isPaused: false };
  };
  const callers = new Map(speeds.map((speed, key) => [key, createCaller(key, speed)]));
  const totals: number[] = [];
  const reliefs: (MemoryRelief<number> & { readonly at: number })[] = [];
  for (let now = 0; now < duration; now += reviewInterval) {
    for (const caller of callers.values()) {
      const mostBacklog = budget.isShort ? 0 : ownBacklogLimit;
      const isReading = !caller.isPaused && caller.backlog <= mostBacklog;
      caller.backlog += isReading ? random.integerBelow(2 * chunk) : 0;
      caller.backlog = Math.max(0, caller.backlog - caller.speed);
      if (caller.backlog === 0) {
        budget.noteCaughtUp(caller.key, now);
        caller.isPaused = false;
      }
    }
    const memory = [...callers.values()].map(({ key, backlog }) => {
      return { key, backlog, held: 1000, isReceiving: false };
    });
    totals.push(memory.reduce((sum, { backlog, held }) => sum + backlog + held, 0));
    for (const relief of budget.review(memory, now)) {
      reliefs.push({ ...relief, at: now });
      const caller = callers.get(relief.key);
      if (relief.type === 'close') {
        callers.delete(relief.key);
      } else if (caller !== undefined) {
        caller.isPaused = relief.type === 'pause';
      }
    }
  }
  return { peak: Math.max(...totals), totals, reliefs };
}

const fast = 4 * chunk;
const slowSpeeds = [0, 0, 0, 200, 1000];

describe('the memory budget', () => {
  // Guards against a process that runs out of memory when tens of callers stop reading at the same time.
  it.each([1, 2, 3, 4, 5])('is kept while many callers read slowly: seed %i', (seed) => {
    const slow = Array.from({ length: 60 }, (_, index) => slowSpeeds[index % 5] ?? 0);
    const quick = Array.from({ length: 40 }, () => fast);
    const { peak, totals, reliefs } = simulate(seed, [...slow, ...quick], 6000);
    // What arrives for all callers between two reviews comes on top.
    expect(peak).toBeLessThan(limit + 2 * 100 * chunk);
    expect(Math.max(...totals.slice(20))).toBeLessThan(1.1 * limit);
    const hurt = reliefs.filter(({ key }) => key >= slow.length);
    expect(hurt).toEqual([]);
  });

  // Guards against callers that are closed although it would have been enough to stop reading for them.
  it('closes nobody while it is enough to stop reading', () => {
    const { reliefs } = simulate(1, [...Array.from({ length: 12 }, () => 0), fast, fast], 6000);
    expect(reliefs.some(({ type }) => type === 'pause')).toBe(true);
    expect(reliefs.filter(({ type }) => type === 'close')).toEqual([]);
  });

  // Guards against effects on callers while there is enough memory, also on those that never read.
  it('has no effect below its limit', () => {
    const { reliefs } = simulate(1, [0, 0, 0, fast, fast], 6000);
    expect(reliefs).toEqual([]);
  });

  // Guards against a connection that is closed before reading for it has stopped, and against closing the wrong one.
  it('stops reading first and closes the slowest callers first, as few as necessary', () => {
    const budget = new MemoryBudget<string>(1000);
    const memory = (backlog: number) => [
      { key: 'late', backlog: 0, held: 0, isReceiving: false },
      { key: 'slowest', backlog, held: 100, isReceiving: false },
      { key: 'slow', backlog, held: 100, isReceiving: false },
    ];
    const [late, slowest, slow] = memory(100);
    expect(budget.review(slowest === undefined ? [] : [slowest], 0)).toEqual([]);
    expect(
      budget.review(
        [late, slowest, slow].flatMap((each) => each ?? []),
        100,
      ),
    ).toEqual([]);
    const describeTypes = (now: number) =>
      budget.review(memory(500), now).map(({ type, key }) => `${type} ${key}`);
    const both = ['pause slowest', 'pause slow'];
    expect(describeTypes(300)).toEqual(both);
    expect(describeTypes(400)).toEqual(both);
    expect(describeTypes(800)).toEqual(['close slowest', ...both]);
  });

  // Guards against an upstream that is never read again: a backlog below the buffer size of a connection causes no drain event.
  it('reads again for a caller that has caught up', () => {
    const budget = new MemoryBudget<string>(1000);
    const review = (backlog: number, now: number) =>
      budget.review([{ key: 'a', backlog, held: 0, isReceiving: false }], now);
    review(900, 0);
    expect(review(900, 300)).toMatchObject([{ type: 'pause', key: 'a' }]);
    expect(review(0, 400)).toMatchObject([{ type: 'resume', key: 'a' }]);
    expect(review(0, 500)).toEqual([]);
  });

  // Guards against callers that hold memory by sending their requests slowly.
  it('counts requests that are still being received', () => {
    const budget = new MemoryBudget<string>(1000);
    const memory = [{ key: 'a', backlog: 0, held: 2000, isReceiving: true }];
    const types = [0, 300, 900].map((now) => budget.review(memory, now).map(({ type }) => type));
    expect(types).toEqual([['pause'], ['pause'], ['close', 'pause']]);
  });
});
