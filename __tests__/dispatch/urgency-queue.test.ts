import { describe, expect, it } from 'vitest';

import { UrgencyQueue, type QueueEntry } from '../../src/dispatch/index.js';

const startTime = 60;

function createQueue(weights: Readonly<Record<string, number>> = {}): UrgencyQueue<QueueEntry> {
  return new UrgencyQueue({
    expectedStart: () => startTime,
    weightOf: (account) => weights[account] ?? 1,
  });
}

function createEntry(id: string, changes: Partial<QueueEntry> = {}): QueueEntry {
  const { arrivedAt = 0, objectiveAt = arrivedAt + 250, refuseAt = arrivedAt + 500 } = changes;
  const usual = { id, account: id, route: 'chat', priority: 1, work: 100, tried: '' };
  return { ...usual, ...changes, arrivedAt, objectiveAt, refuseAt };
}

/** Identifiers in the order in which the queue gives out slots at the given time. */
function drain(queue: UrgencyQueue<QueueEntry>, now: number): readonly string[] {
  const identifiers: string[] = [];
  for (
    let entry = queue.next(now, () => true);
    entry !== undefined;
    entry = queue.next(now, () => true)
  ) {
    identifiers.push(entry.id);
  }
  return identifiers;
}

function offerAll(queue: UrgencyQueue<QueueEntry>, entries: readonly QueueEntry[]): void {
  for (const entry of entries) {
    queue.offer(entry, entry.arrivedAt);
  }
}

/** Lets one request wait without a slot, so that slots are known to be scarce: about one in each `interval`. */
function measureSlots(queue: UrgencyQueue<QueueEntry>, interval: number, until: number): void {
  queue.offer(createEntry('measuring', { account: 'other' }), 0);
  queue.next(0, () => false);
  for (let now = interval; now <= until; now += interval) {
    queue.offer(createEntry(`measuring ${now}`, { account: 'other' }), now);
    queue.next(now, () => true);
    queue.expire(now);
  }
}

describe('order', () => {
  /** Guards against slots for requests that are late in any case while others could still be in time. */
  it('prefers requests that can be in time to late ones', () => {
    const queue = createQueue();
    offerAll(queue, [
      createEntry('late', { priority: 0, arrivedAt: 0 }),
      createEntry('inTime', { priority: 2, arrivedAt: 200 }),
    ]);
    expect(drain(queue, 210)).toEqual(['inTime', 'late']);
  });

  /** Guards against slots that stay free while only late requests wait. */
  it('serves late requests when no others wait', () => {
    const queue = createQueue();
    offerAll(queue, [createEntry('late')]);
    expect(drain(queue, 400)).toEqual(['late']);
  });

  /** Guards against urgent requests that wait behind others. */
  it('prefers the more urgent request', () => {
    const queue = createQueue();
    offerAll(queue, [createEntry('usual'), createEntry('urgent', { priority: 0, arrivedAt: 5 })]);
    expect(drain(queue, 10)).toEqual(['urgent', 'usual']);
  });

  /** Guards against shares by number of requests: an account with few long requests would get most of the work. */
  it('alternates between accounts by work', () => {
    const queue = createQueue();
    offerAll(queue, [
      createEntry('long 1', { account: 'long', work: 200 }),
      createEntry('long 2', { account: 'long', work: 200 }),
      createEntry('short 1', { account: 'short', arrivedAt: 1 }),
      createEntry('short 2', { account: 'short', arrivedAt: 2 }),
      createEntry('short 3', { account: 'short', arrivedAt: 3 }),
    ]);
    expect(drain(queue, 3)).toEqual(['long 1', 'short 1', 'short 2', 'long 2', 'short 3']);
  });

  /** Guards against equal shares at gateways where an account has only a part of its requests. */
  it('gives an account with twice the weight twice the work', () => {
    const queue = createQueue({ big: 2 });
    offerAll(
      queue,
      [1, 2, 3, 4].flatMap((number) => [
        createEntry(`big ${number}`, { account: 'big', arrivedAt: number }),
        createEntry(`small ${number}`, { account: 'small', arrivedAt: number }),
      ]),
    );
    const first = drain(queue, 5).slice(0, 6);
    expect(first.filter((id) => id.startsWith('big'))).toHaveLength(4);
  });

  /** Guards against requests with a short objective that wait behind older ones with more time. */
  it('prefers the earliest objective within an account', () => {
    const queue = createQueue();
    offerAll(queue, [
      createEntry('later', { account: 'one', objectiveAt: 900 }),
      createEntry('sooner', { account: 'one', arrivedAt: 5, objectiveAt: 255 }),
    ]);
    expect(drain(queue, 6)).toEqual(['sooner', 'later']);
  });

  /** Guards against new requests that take each slot before those that have waited for it. */
  it('does not let a new request pass one that ranks before it', () => {
    const queue = createQueue();
    offerAll(queue, [createEntry('waiting'), createEntry('new', { arrivedAt: 50 })]);
    expect(queue.next(50, () => true)?.id).toBe('waiting');
  });

  /** Guards against a request that holds up all others because it has tried the only upstream with a slot. */
  it('passes over requests for which there is no slot', () => {
    const queue = createQueue();
    offerAll(queue, [createEntry('retry', { tried: 'group-1' }), createEntry('new')]);
    expect(queue.next(0, ({ tried }) => tried === '')?.id).toBe('new');
  });

  /** Guards against work that grows with the square of the queue: every waiting request asked the chooser for every slot. */
  it('asks once for all requests that the same upstreams can serve', () => {
    const queue = createQueue();
    offerAll(queue, [createEntry('one'), createEntry('two'), createEntry('three')]);
    let asked = 0;
    queue.next(0, () => {
      asked += 1;
      return false;
    });
    expect(asked).toBe(1);
  });
});

describe('refusal', () => {
  /** Guards against refusals while there is a free slot. */
  it('refuses nothing before slots are known to be scarce', () => {
    const queue = createQueue();
    offerAll(queue, [createEntry('one'), createEntry('two'), createEntry('three')]);
    expect(queue.next(0, () => false)).toBeUndefined();
    expect(queue.expire(0)).toEqual([]);
  });

  /** Guards against requests that are held for their whole time although their place in the queue says that no slot will come. */
  it('refuses at once what is not expected to leave the queue in time', () => {
    const queue = createQueue();
    measureSlots(queue, 60, 1200);
    offerAll(
      queue,
      Array.from({ length: 20 }, (_, index) => createEntry(`${index}`, { arrivedAt: 1201 })),
    );
    queue.next(1201, () => false);
    const dropped = queue.expire(1201);
    expect(dropped.length).toBeGreaterThan(10);
    expect(new Set(dropped.map(({ reason }) => reason))).toEqual(new Set(['noRoomInTime']));
    expect(queue.length).toBeGreaterThan(0);
  });

  /** Guards against a refusal that comes after the caller has already paid for the wait. */
  it('keeps a request that has waited longer than an eighth of its objective until its time is over', () => {
    const queue = createQueue();
    offerAll(queue, [createEntry('old')]);
    queue.next(0, () => false);
    expect(queue.expire(400)).toEqual([]);
    expect(queue.expire(500)).toMatchObject([{ reason: 'waitedTooLong', entry: { id: 'old' } }]);
  });

  /** Guards against refusals while there are slots: after the last waiting request had left, the time without any counted as time without slots. */
  it('does not take slots for scarce while nothing waits', () => {
    const queue = createQueue();
    offerAll(queue, [createEntry('left')]);
    queue.next(0, () => false);
    queue.withdraw('left');
    queue.next(50, () => false);
    queue.expire(50);
    const later = { arrivedAt: 5000 };
    offerAll(queue, [createEntry('one', later), createEntry('two', later)]);
    queue.next(5000, () => false);
    expect(queue.expire(5000)).toEqual([]);
  });

  /** Guards against requests that left and still take a slot or a position. */
  it('forgets withdrawn requests', () => {
    const queue = createQueue();
    offerAll(queue, [createEntry('left'), createEntry('stays')]);
    queue.withdraw('left');
    expect(drain(queue, 1)).toEqual(['stays']);
  });
});

describe('aging', () => {
  /** Guards against a class that gets no slot for as long as more urgent requests wait. */
  it('prefers a class that is served less than a quarter as often as the mean', () => {
    const queue = createQueue();
    for (let now = 0; now < 1000; now += 10) {
      const batch = { route: 'batch', priority: 2, objectiveAt: now + 2000, refuseAt: now + 10 };
      offerAll(queue, [
        createEntry(`urgent ${now}`, { priority: 0, arrivedAt: now }),
        createEntry(`batch ${now}`, { ...batch, arrivedAt: now }),
      ]);
      queue.next(now, () => true);
      queue.expire(now + 10);
    }
    offerAll(queue, [
      createEntry('urgent', { priority: 0, arrivedAt: 1000 }),
      createEntry('batch', { route: 'batch', priority: 2, arrivedAt: 1000 }),
    ]);
    expect(queue.next(1000, () => true)?.route).toBe('batch');
  });
});
