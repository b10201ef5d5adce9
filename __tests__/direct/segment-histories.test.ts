import { describe, expect, it } from 'vitest';

import { createRandomSource, type Milliseconds } from '../../src/common/index.js';
import { CrashWorld, tick } from './crash-world.js';

const seeds = Array.from(
  { length: Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? 20) },
  (_, index) => index + 1,
);
/** Crashes after which a segment must be held back everywhere, and the time that its quarantine may take. */
const crashLimit = 5;
const propagationTime: Milliseconds = 3000;
/** Most requests with the segment that may be sent later than that, for the rest of the history. */
const maximumLateSends = 3;
/** Share of the sound requests that must not be rejected once a segment is held back everywhere. */
const maximumRejectedShare = 0.5;
/** Segment that most prompts begin with. */
const common = 'common';

interface SegmentHistory {
  readonly duration?: Milliseconds;
  readonly gateways?: number;
  readonly upstreams?: number;
  /** Sound requests per second. */
  readonly soundRate?: number;
  /** Requests per second with each crashing segment. */
  readonly crashingRate?: number;
  /** Time of the first of these. */
  readonly crashingFrom?: Milliseconds;
  readonly crashing?: readonly string[];
  /** Segments that each request brings along and no other has. */
  readonly newSegments?: number;
  readonly onTick?: (world: CrashWorld) => void;
}

/** Every request has a content of its own; sound ones and crashing ones share the common segment and those of documents. */
function playHistory(seed: number, history: SegmentHistory): CrashWorld {
  const { duration = 20_000, gateways = 8, upstreams = 8, crashingRate = 2 } = history;
  const { crashing = ['bad'], newSegments = 0, onTick } = history;
  const { soundRate = 50, crashingFrom = 2000 } = history;
  const random = createRandomSource(seed);
  const world = new CrashWorld(random, gateways, upstreams);
  crashing.forEach((segment) => world.crashingSegments.add(segment));
  const isDue = (rate: number): boolean => random.fraction() < (rate * tick) / 1000;
  let count = 0;
  const submit = (...segments: readonly string[]): void => {
    count += 1;
    const own = Array.from({ length: newSegments }, (_, index) => `own-${count}-${index}`);
    world.submit(`request-${count}`, [...segments, ...own]);
  };
  while (world.now < duration) {
    world.step();
    onTick?.(world);
    if (isDue(soundRate)) {
      submit(common, `document-${random.integerBelow(4)}`);
    }
    for (const segment of crashing) {
      if (world.now > crashingFrom && isDue(crashingRate)) {
        submit(common, `document-${random.integerBelow(4)}`, segment);
      }
    }
  }
  return world;
}

/** Sends with the segment by gateways that are connected, later than the propagation time after its fifth crash. */
function countLateSends(world: CrashWorld, segment: string): number {
  const times = world.crashes
    .filter(({ segments }) => segments.includes(segment))
    .map(({ at }) => at);
  const limit = (times[crashLimit - 1] ?? Number.POSITIVE_INFINITY) + propagationTime;
  return world.gateways
    .filter(({ isCut }) => !isCut)
    .flatMap(({ sends }) => sends)
    .filter(({ segments, at }) => segments.includes(segment) && at > limit).length;
}

/** Requests without a crashing segment that were rejected. */
function listSoundRejections(world: CrashWorld): readonly { readonly at: Milliseconds }[] {
  return world.gateways
    .flatMap(({ rejections }) => rejections)
    .filter(({ segments }) => !segments.some((each) => world.crashingSegments.has(each)));
}

/** Share of the sound requests that were rejected from twice the propagation time after the fifth crash of a segment on. */
function measureSettledRejections(world: CrashWorld): number {
  const settledAt = (world.crashes[crashLimit - 1]?.at ?? 0) + 2 * propagationTime;
  const rejected = listSoundRejections(world).filter(({ at }) => at >= settledAt).length;
  const answered = world.gateways
    .flatMap(({ answers }) => answers)
    .filter(({ at }) => at >= settledAt).length;
  return rejected / Math.max(1, rejected + answered);
}

/** Crashes `count` upstreams in their order, from the one with index `first` on, and goes on with the first one after the last. */
function crashUpstreams(world: CrashWorld, first: number, count: number): void {
  for (let index = first; index < first + count; index += 1) {
    const upstream = world.upstreams[index % world.upstreams.length];
    if (upstream !== undefined) {
      world.crash(upstream);
    }
  }
}

function isAt(world: CrashWorld, time: Milliseconds): boolean {
  return world.now === time;
}

/** Guards against prompts that share one segment and crash one upstream after the other, no two requests alike. */
describe('a segment that crashes upstreams', () => {
  it.each([
    ['eight gateways', {}],
    ['tens of gateways', { gateways: 46, upstreams: 30, crashingRate: 10 }],
    ['a rare segment', { crashingRate: 0.5, duration: 40_000 }],
    ['two such segments', { crashing: ['bad', 'worse'] }],
    ['many new segments in each request', { newSegments: 150, crashingRate: 4 }],
  ])('is held back on all gateways: %s', (_, history: SegmentHistory) => {
    for (const seed of seeds) {
      const world = playHistory(seed, history);
      for (const segment of world.crashingSegments) {
        expect(countLateSends(world, segment), `seed ${seed}`).toBeLessThanOrEqual(
          maximumLateSends,
        );
      }
      expect(world.crashes.length, `seed ${seed}`).toBeGreaterThanOrEqual(3);
      expect(listSoundRejections(world), `seed ${seed}`).toEqual([]);
    }
  });

  it('is held back for hours', () => {
    const world = playHistory(1, { duration: 2 * 60 * 60 * 1000, gateways: 3, upstreams: 4 });
    expect(countLateSends(world, 'bad')).toBeLessThanOrEqual(maximumLateSends);
  }, 300_000);

  it('is held back over restarts of gateways and of control, and a change of the leader', () => {
    for (const seed of seeds) {
      const onTick = (world: CrashWorld): void => {
        if (world.now > 3000 && world.now % 1000 === 0) {
          const gateway = world.gateways[(world.now / 1000) % world.gateways.length];
          if (gateway !== undefined) {
            world.restartGateway(gateway);
          }
        }
        if (isAt(world, 6000) || isAt(world, 12_000)) {
          world.restartControl();
        }
        world.isLeaderless = world.now > 2500 && world.now < 3500;
      };
      const world = playHistory(seed, { onTick });
      expect(countLateSends(world, 'bad'), `seed ${seed}`).toBeLessThanOrEqual(maximumLateSends);
      expect(world.crashes.length, `seed ${seed}`).toBeGreaterThanOrEqual(3);
    }
  });

  it('is sent without end neither by a gateway that is cut off from control nor by the others', () => {
    for (const seed of seeds) {
      const onTick = (world: CrashWorld): void => {
        const [cut] = world.gateways;
        if (cut !== undefined) {
          cut.isCut = world.now > 1000;
        }
      };
      const world = playHistory(seed, { onTick });
      const [cut] = world.gateways;
      const own = cut?.sends.filter(({ segments }) => segments.includes('bad')) ?? [];
      expect(own.length, `seed ${seed}`).toBeLessThanOrEqual(2);
      expect(countLateSends(world, 'bad'), `seed ${seed}`).toBeLessThanOrEqual(maximumLateSends);
    }
  });
});

/** Guards against holding back a segment of sound requests because upstreams crashed for another reason. */
describe('a segment that most requests hold', () => {
  it.each([
    ['racks that are lost under load', 6, 4000],
    ['upstreams replaced one after the other', 1, 500],
  ])('is not held back by %s', (_, lostAtOnce, interval) => {
    for (const seed of seeds) {
      let next = 0;
      const onTick = (world: CrashWorld): void => {
        if (world.now % interval === 0) {
          crashUpstreams(world, next, lostAtOnce);
          next += lostAtOnce;
        }
      };
      const world = playHistory(seed, { crashing: [], onTick, upstreams: 10 });
      expect(listSoundRejections(world), `seed ${seed}`).toEqual([]);
    }
  });

  it.each([
    ['racks that are lost', 4, 1000],
    ['upstreams replaced one after the other', 1, 250],
  ])('is served again within seconds of %s before the first answer', (_, lostAtOnce, interval) => {
    const lossEnd = 3000;
    for (const seed of seeds) {
      let next = 0;
      const onTick = (world: CrashWorld): void => {
        if (world.now < lossEnd && world.now % interval === interval / 5) {
          crashUpstreams(world, next, lostAtOnce);
          next += lostAtOnce;
        }
      };
      const world = playHistory(seed, { crashing: [], onTick, upstreams: 12 });
      const late = listSoundRejections(world).filter(({ at }) => {
        return at > lossEnd + 2 * propagationTime;
      });
      expect(late, `seed ${seed}`).toEqual([]);
    }
  });
});

/** Guards against rejecting all sound requests because upstreams crashed before any of them was answered. */
describe('a segment that most requests hold, while others crash upstreams from the first request on', () => {
  const histories = [['bad'], ['bad', 'worse'], ['bad', 'worse', 'third', 'fourth']].flatMap(
    (crashing) => seeds.map((seed) => ({ crashing, seed })),
  );

  it.each(histories)(
    'is served again within seconds: $crashing, seed $seed',
    ({ crashing, seed }) => {
      const world = playHistory(seed, {
        crashing,
        crashingFrom: 0,
        crashingRate: 5 / crashing.length,
        soundRate: 12,
        gateways: 3,
      });
      expect(measureSettledRejections(world)).toBeLessThanOrEqual(maximumRejectedShare);
      for (const segment of crashing) {
        expect(countLateSends(world, segment), segment).toBeLessThanOrEqual(maximumLateSends);
      }
    },
  );
});

/** Guards against a segment that was only ever sent beside a crashing one, and is rejected alone from then on. */
describe('a segment that cannot be told from a crashing one', () => {
  it('is served again soon once requests come that hold it alone', () => {
    for (const seed of seeds) {
      const random = createRandomSource(seed);
      const world = new CrashWorld(random, 8, 8);
      world.crashingSegments.add('bad');
      let lastRejection = 0;
      for (let count = 0; world.now < 40_000; count += 1) {
        world.step();
        if (random.fraction() < 0.3) {
          world.submit(`other-${count}`, [common]);
        }
        if (world.now > 2000 && random.fraction() < 0.02) {
          world.submit(`crashing-${count}`, [common, 'beside', 'bad']);
        }
        if (world.now > 6000 && random.fraction() < 0.02) {
          world.submit(`alone-${count}`, [common, 'beside']);
        }
      }
      for (const { at } of listSoundRejectionTimes(world)) {
        lastRejection = Math.max(lastRejection, at);
      }
      expect(lastRejection, `seed ${seed}`).toBeLessThan(20_000);
      expect(countLateSends(world, 'bad'), `seed ${seed}`).toBeLessThanOrEqual(maximumLateSends);
    }
  });
});

function listSoundRejectionTimes(world: CrashWorld): readonly { readonly at: Milliseconds }[] {
  return world.gateways
    .flatMap(({ rejections }) => rejections)
    .filter(({ segments }) => !segments.includes('bad'));
}
