import { describe, expect, it } from 'vitest';

import { WaitingWorld } from './waiting-world.js';

const urgent = { route: { name: 'urgent', priority: 0 } };
const batch = { route: { name: 'batch', priority: 3, objective: 2000 } };

describe('requests that wait at a gateway', () => {
  /** Guards against new requests that pass urgent ones which wait for the same slot. */
  it('get slots by rank, also before new ones', () => {
    const world = new WaitingWorld();
    world.slots.set('g-1', 0);
    world.arrive('batch', batch);
    world.arrive('urgent', urgent);
    world.now = 20;
    world.slots.set('g-1', 1);
    world.arrive('new', batch);
    world.free('g-1', 1);
    world.free('g-1', 1);
    expect(world.log).toEqual(['urgent to g-1', 'batch to g-1', 'new to g-1']);
  });

  /** Guards against a wait of tens of milliseconds although there is a free slot and nothing waits. */
  it('are sent at once when there is a free slot', () => {
    const world = new WaitingWorld();
    world.slots.set('g-1', 2);
    world.arrive('one');
    world.arrive('two');
    expect(world.log).toEqual(['one to g-1', 'two to g-1']);
  });

  /** Guards against slots by order of polling when groups return: all that wait for a group ask at the same moment. */
  it('get slots by rank when the first group opens', () => {
    const world = new WaitingWorld();
    world.arrive('batch', batch);
    world.arrive('usual');
    world.arrive('urgent', urgent);
    world.now = 100;
    world.free('g-1', 2);
    expect(world.log).toEqual(['urgent to g-1', 'usual to g-1']);
  });

  /** Guards against a wait until the request is refused when all groups are lost while it is queued. */
  it('wait for a group again when the last one is lost', () => {
    const world = new WaitingWorld();
    world.slots.set('g-1', 0);
    world.arrive('one');
    world.slots.delete('g-1');
    world.advance(800);
    expect(world.log).toEqual([]);
    world.free('g-2', 1);
    expect(world.log).toEqual(['one to g-2']);
  });

  /** Guards against slots for callers that have left, and a queue that counts them. */
  it('no longer count after their callers have left', () => {
    const world = new WaitingWorld();
    world.slots.set('g-1', 0);
    world.arrive('left', urgent);
    world.arrive('stays', batch);
    world.report('left', 'callerLeft');
    expect(world.queued).toBe(1);
    world.free('g-1', 1);
    expect(world.log).toEqual(['stays to g-1']);
  });

  /** Guards against an upstream that dies with requests of all accounts, and retries that pass the more urgent ones or are lost. */
  it('are queued again by rank after an upstream has rejected them', () => {
    const world = new WaitingWorld();
    world.slots.set('g-1', 2);
    world.slots.set('g-2', 0);
    world.arrive('usual', { account: 'large' });
    world.arrive('urgent', { ...urgent, account: 'small' });
    world.slots.set('g-1', 0);
    world.report('usual', 'refused');
    world.report('urgent', 'unreachable');
    world.log.length = 0;
    world.free('g-2', 1);
    expect(world.log).toEqual(['urgent to g-2']);
  });

  /** Guards against a request that has tried the only group with a slot and holds up all that wait behind it. */
  it('do not wait for those that need another group', () => {
    const world = new WaitingWorld();
    world.slots.set('g-1', 1);
    world.slots.set('g-2', 0);
    world.arrive('retry', urgent);
    world.report('retry', 'refused');
    world.arrive('usual');
    world.free('g-1', 1);
    expect(world.log).toEqual(['retry to g-1', 'usual to g-1']);
  });
});

describe('a request for which no slot is expected in time', () => {
  /** A gateway that gets a slot every 60 ms and five times as many requests. */
  function overload(): WaitingWorld {
    const world = new WaitingWorld();
    world.slots.set('g-1', 0);
    for (let count = 0; count < 200; count += 1) {
      world.arrive(`${count}`, { account: `account-${count % 5}` });
      if (count % 5 === 0) {
        world.free('g-1', 1);
      }
      world.now += 12;
    }
    return world;
  }

  /** Guards against callers that are held for half a second and then refused. */
  it('is refused at once, and not after its caller has waited', () => {
    const { log } = overload();
    const atOnce = log.filter((line) => line.endsWith('noRoomInTime'));
    const afterWait = log.filter((line) => line.endsWith('waitedTooLong'));
    expect(atOnce.length).toBeGreaterThan(100);
    expect(afterWait.length).toBeLessThan(atOnce.length / 10);
  });

  /** Guards against a number of waiting requests that only grows, because some ways out of the queue are not counted. */
  it('is no longer counted as waiting', () => {
    const world = overload();
    world.advance(1000);
    expect(world.queued).toBe(0);
  });

  /** Guards against refused callers that all return at the same moment, and are refused again. */
  it('is told to return at another time than others', () => {
    const { refusals } = overload();
    const delays = [...refusals.values()];
    expect(new Set(delays).size).toBeGreaterThan(5);
    expect(Math.min(...delays)).toBeGreaterThanOrEqual(200);
    expect(Math.max(...delays)).toBeLessThanOrEqual(2000);
  });

  /** Guards against refusals while groups have free slots: a group that was never heard of is asked by one request at a time. */
  it('is only refused once slots are known to be scarce', () => {
    const world = new WaitingWorld();
    world.slots.set('g-1', 0);
    for (const id of ['1', '2', '3', '4', '5', '6']) {
      world.arrive(id);
    }
    world.now = 30;
    world.free('g-1', 6);
    expect(world.refusals.size).toBe(0);
    expect(world.log).toHaveLength(6);
  });
});
