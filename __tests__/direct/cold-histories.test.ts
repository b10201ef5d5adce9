import { describe, expect, it } from 'vitest';

import {
  createRandomSource,
  type Milliseconds,
  type RandomSource,
} from '../../src/common/index.js';
import {
  ColdWorld,
  countPerSecond,
  findMostPerSecond,
  mostPerSecond,
  profile,
} from './cold-world.js';

const seeds = Array.from(
  { length: Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? 10) },
  (_, index) => index + 1,
);
/** When the upstream starts; control and gateways know one another by then. */
const startsAt: Milliseconds = 5000;
const duration: Milliseconds = 20_000;
/** Requests per second over all gateways: far more than a cold upstream tolerates. */
const demand = 120;

interface History {
  readonly gateways?: number;
  readonly spread?: (world: ColdWorld) => void;
  readonly onTick?: (world: ColdWorld, random: RandomSource) => void;
}

function spreadEvenly({ gateways }: ColdWorld): void {
  for (const gateway of gateways) {
    gateway.rate = demand / gateways.length;
  }
}

function giveAllToOne({ gateways }: ColdWorld): void {
  gateways.forEach((gateway, index) => {
    gateway.rate = index === 0 ? demand : 0;
  });
}

function simulate(
  seed: number,
  { gateways = 17, spread = spreadEvenly, onTick }: History,
): ColdWorld {
  const random = createRandomSource(seed);
  const world = new ColdWorld(random, gateways);
  spread(world);
  while (world.now < duration) {
    world.step();
    if (world.now === startsAt) {
      world.startUpstream();
    }
    onTick?.(world, random);
  }
  return world;
}

function expectBound(world: ColdWorld, seed: number): void {
  expect(findMostPerSecond(world.arrivals), `seed ${seed}`).toBeLessThanOrEqual(mostPerSecond);
}

/** Mean share of the declared rate that is used. */
function findUse(worlds: readonly ColdWorld[], from: Milliseconds, until: Milliseconds): number {
  const rates = worlds.map(({ arrivals }) => countPerSecond(arrivals, from, until));
  return rates.reduce((sum, rate) => sum + rate, 0) / rates.length / profile.requestsPerSecond;
}

describe('requests to a cold upstream', () => {
  // Guards against a share for each gateway that is too small where callers use few of them, and against rates that start late.
  it.each([
    ['spread evenly over 17 gateways', 17, spreadEvenly],
    ['all at one gateway of 17', 17, giveAllToOne],
    ['spread evenly over 46 gateways', 46, spreadEvenly],
    ['at a single gateway', 1, giveAllToOne],
  ] as const)('keep the bound and use most of the declared rate: %s', (_, gateways, spread) => {
    const worlds = seeds.map((seed) => simulate(seed, { gateways, spread }));
    worlds.forEach((world, index) => {
      expectBound(world, seeds[index] ?? 0);
    });
    const steady = findUse(worlds, startsAt + 2000, duration);
    const first = findUse(worlds, startsAt, startsAt + 3000);
    expect(steady).toBeGreaterThan(gateways > 17 ? 0.5 : 0.75);
    expect(first).toBeGreaterThan(0.5);
  });

  const failures: readonly [string, History][] = [
    // Guards against a share of a silent gateway that is given to others while it may still use it, or uses it again too early.
    [
      'gateways lose control for a while, several at a time',
      {
        onTick: (world, random) => {
          if (world.now % 1000 === 0) {
            for (const gateway of world.gateways) {
              if (random.fraction() < 0.15) {
                gateway.cutUntil = world.now + random.integerBelow(8000);
              }
            }
          }
        },
      },
    ],
    // Guards against gateways that add their own shares to what the leader still grants.
    [
      'all gateways but three lose control, before and after the start',
      {
        onTick: ({ now, gateways }) => {
          gateways.forEach((gateway, index) => {
            gateway.rate = 30;
            if (now === (index % 2 === 0 ? 4000 : 8000) && index >= 3) {
              gateway.cutUntil = 16_000;
            }
          });
        },
      },
    ],
    // Guards against a new leader that grants what its predecessor has granted already.
    [
      'the leader changes, and the former one answers for another second',
      {
        onTick: (world) => {
          if (world.now > startsAt && world.now % 4000 === 0) {
            world.changeLeader();
          }
        },
      },
    ],
    // Guards against a new leader that does not know of a rate that is still in use.
    [
      'the leader changes, the only gateway hears of it last, and another one joins',
      {
        gateways: 1,
        onTick: (world) => {
          if (world.now === 9000) {
            world.changeLeader(100, world.gateways);
            world.addGateway('gateway-1').rate = demand;
          }
        },
      },
    ],
    // Guards against a restarted gateway that sends at once although its predecessor has just sent.
    [
      'all gateways restart several times within a second',
      {
        onTick: (world) => {
          for (const gateway of world.gateways) {
            gateway.rate = 60;
            if (world.now > startsAt && world.now % 4000 < 900 && world.now % 300 === 0) {
              world.restartGateway(gateway);
            }
          }
        },
      },
    ],
    // Guards against a restarted gateway that sends a second share, or divides by a number of gateways that is too small.
    [
      'gateways restart while control is not heard',
      {
        onTick: (world, random) => {
          if (world.now % 2500 === 0) {
            world.leaderlessUntil = world.now + random.integerBelow(2500);
          }
          if (world.now % 300 === 0) {
            const gateway = world.gateways[random.integerBelow(world.gateways.length)];
            if (gateway !== undefined) {
              world.restartGateway(gateway);
            }
          }
        },
      },
    ],
    // Guards against gateways that keep the larger share of a smaller number of gateways when others join.
    [
      'gateways join, some of them while others are cut off',
      {
        gateways: 8,
        onTick: (world) => {
          world.gateways.slice(0, 4).forEach((gateway) => {
            if (world.now === 7000) {
              gateway.cutUntil = 18_000;
            }
          });
          if (world.now >= 8000 && world.now % 1000 === 0 && world.gateways.length < 17) {
            world.addGateway(`gateway-${world.gateways.length}`).rate = 10;
          }
        },
      },
    ],
    // Guards against requests that wait for a connection and then arrive together.
    [
      'connections take long to open',
      {
        onTick: (world) => {
          world.connectTime = world.now % 3000 < 1500 ? 600 : 0;
        },
      },
    ],
    // Guards against requests that wait for the first connection of all gateways.
    [
      'the upstream cannot be reached for a while',
      {
        onTick: (world) => {
          for (const gateway of world.gateways) {
            gateway.rate = 60;
          }
          if (world.now % 2000 === 0) {
            world.unreachableUntil = world.now + 900;
          }
        },
      },
    ],
    // Guards against a burst after requests that were answered 421, which do not count.
    [
      'a third of the requests is answered 421',
      {
        onTick: (world) => {
          world.misdirectedShare = 0.33;
        },
      },
    ],
    // Guards against bursts that idle gateways save up and send together.
    [
      'traffic stops and returns everywhere at once',
      {
        onTick: ({ now, gateways }) => {
          for (const gateway of gateways) {
            gateway.rate = now % 3000 < 1500 ? 0 : 30;
          }
        },
      },
    ],
    // Guards against two full rates while the traffic moves from one gateway to another.
    [
      'all traffic moves from gateway to gateway',
      {
        spread: giveAllToOne,
        onTick: ({ now, gateways }) => {
          if (now % 700 === 0) {
            gateways.forEach((gateway, index) => {
              gateway.rate = index === (now / 700) % gateways.length ? demand : 0;
            });
          }
        },
      },
    ],
  ];

  it.each(failures)('keep the bound while %s', (_, history) => {
    for (const seed of seeds) {
      const world = simulate(seed, history);
      if (seed < 3) expectBound(world, seed);
      expect(world.arrivals.length, `seed ${seed}`).toBeGreaterThan(20);
    }
  });

  // Guards against gateways that send nothing to upstreams that start while control is silent.
  it('use the shares of the gateways while control is silent for long', () => {
    const worlds = seeds.map((seed) => {
      return simulate(seed, {
        onTick: (world) => {
          world.leaderlessUntil = world.now >= 3000 ? duration : 0;
        },
      });
    });
    worlds.forEach((world, index) => {
      expectBound(world, seeds[index] ?? 0);
    });
    expect(findUse(worlds, startsAt + 1500, duration)).toBeGreaterThan(0.7);
  });
});
