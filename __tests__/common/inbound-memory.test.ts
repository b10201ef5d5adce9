import { beforeEach, describe, expect, it } from 'vitest';

import { InboundMemory, type InboundHold } from '../../src/common/index.js';

const kilobyte = 1024;
const limit = 1000 * kilobyte;
const large = 400 * kilobyte;
const small = 60 * kilobyte;
const stalled = 1001;

let now: number;
let memory: InboundMemory;
let givenUp: string[];

beforeEach(() => {
  now = 0;
  givenUp = [];
  memory = new InboundMemory(limit, { monotonic: () => now, wall: () => now });
});

function open(name: string): InboundHold {
  const hold = memory.open(() => givenUp.push(name));
  if (hold === undefined) {
    throw new Error('there is no memory for a request');
  }
  return hold;
}

/** Holds as many small requests as fit; returns how many. */
function fillWithSmall(): number {
  let count = 0;
  while (memory.open(() => undefined)?.reserve(small) === true) {
    count += 1;
  }
  return count;
}

// Guards against bodies that together take more memory than a process has.
describe('the memory for what clients send', () => {
  it('is never exceeded by small requests', () => {
    expect(fillWithSmall()).toBeGreaterThan(10);
    expect(memory.heldBytes).toBeLessThanOrEqual(limit);
  });

  it('keeps a part for small requests beside large ones', () => {
    expect(open('one').reserve(large)).toBe(true);
    expect(open('other').reserve(large)).toBe(false);
    expect(open('small').reserve(small)).toBe(true);
  });

  it('always fits one large request, also one that exceeds it', () => {
    expect(open('small').reserve(small)).toBe(true);
    expect(open('large').reserve(2 * limit)).toBe(true);
    expect(open('other').reserve(large)).toBe(false);
    expect(open('beside it').reserve(small)).toBe(true);
  });

  it('is taken from those that stopped sending, the longest silent first', () => {
    expect(open('silent').reserve(large)).toBe(true);
    now = stalled;
    expect(open('new').reserve(large)).toBe(true);
    expect(givenUp).toEqual(['silent']);
  });

  it('is not taken from those that make progress, however slow, or have arrived', () => {
    const slow = open('slow');
    expect(slow.reserve(large)).toBe(true);
    now = stalled;
    slow.noteReceived(4 * kilobyte);
    const refused = open('new');
    expect(refused.reserve(large)).toBe(false);
    refused.release();
    slow.noteComplete();
    now = 10 * stalled;
    expect(open('newer').reserve(large)).toBe(false);
    expect(givenUp).toEqual([]);
  });

  it('is taken from those that send a byte now and then', () => {
    const trickling = open('trickling');
    expect(trickling.reserve(large)).toBe(true);
    now = stalled;
    trickling.noteReceived(1);
    expect(open('new').reserve(large)).toBe(true);
    expect(givenUp).toEqual(['trickling']);
  });

  it('is free again after the release, which may come twice', () => {
    const hold = open('one');
    hold.reserve(large);
    hold.release();
    hold.release();
    expect(memory.heldBytes).toBe(0);
    expect(hold.reserve(1)).toBe(false);
  });
});
