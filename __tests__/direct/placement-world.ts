import {
  createRandomSource,
  type Milliseconds,
  type RandomSource,
} from '../../src/common/index.js';
import {
  TargetChooser,
  TargetLoads,
  type GatewayPlace,
  type Target,
} from '../../src/gateway/direct/index.js';
import type { EngineGroup, RoutedService } from '../../src/routing/index.js';
import { emptyRoutingView, type RoutingView } from '../../src/watch/index.js';
import { engineProfile } from '../routing/documents.js';

/**
 * Gateways that place requests on heads of groups with their real choosers, in virtual time: each gateway knows what it sent itself, and what
 * heads said in their answers to it.
 */

/** How the world is laid out. */
export interface PlacementOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly heads: number;
  /** Requests at one moment, in parts of all slots. */
  readonly load: number;
  /** Whether gateways know their place among each other. */
  readonly arePlaced: boolean;
  /** Arrivals are the load of this much time. */
  readonly duration: Milliseconds;
}

/** What became of the requests. */
export interface PlacementResult {
  readonly requests: number;
  /** Requests that a head without a free slot turned away. */
  readonly turnedAway: number;
  /** Requests that waited at their gateway, or were refused there, while a head had a free slot. */
  readonly heldBack: number;
  /** Requests that wanted a place while no head had one. */
  readonly overload: number;
  /** Most requests at a head at one moment over the mean of all heads, averaged over time. */
  readonly busiest: number;
  /** Connections that gateways would have opened: pairs of a gateway and a head that were used. */
  readonly pairs: number;
}

const slots = 20;
const meanWork: Milliseconds = 400;
const tick: Milliseconds = 5;
const model = 'small';

interface Gateway {
  readonly chooser: TargetChooser;
  readonly loads: TargetLoads;
}

interface Run {
  readonly gateway: Gateway;
  readonly target: Target;
  readonly endsAt: Milliseconds;
}

/** Plays requests of one model that arrive at random gateways and take a random time. */
export function playPlacement(options: PlacementOptions): PlacementResult {
  const { seed, heads, load, duration } = options;
  const random = createRandomSource(seed);
  // Of their own, so that the same requests come whatever becomes of them.
  const arrivals = createRandomSource(seed);
  const service: RoutedService = {
    name: 'engines',
    maximumConnections: 600,
    engine: { ...engineProfile, slots },
  };
  const view = createView(heads);
  const gateways = Array.from({ length: options.gateways }, (_, index) =>
    createGateway(
      view,
      createRandomSource(seed * 1000 + index),
      options.arePlaced ? { gateways: options.gateways, position: index } : undefined,
    ),
  );
  const running = new Map<string, Run[]>([...view.engineGroups.keys()].map((key) => [key, []]));
  const arrivalsPerTick = (load * heads * slots * tick) / meanWork;
  const pairs = new Set<string>();
  let requests = 0;
  let turnedAway = 0;
  let heldBack = 0;
  let overload = 0;
  let imbalance = 0;
  let due = 0;
  let ticks = 0;
  for (let now = 0; now < duration; now += tick) {
    endRuns(running, now);
    due += arrivalsPerTick * drawExponential(arrivals);
    for (; due >= 1; due -= 1) {
      requests += 1;
      const place = arrivals.integerBelow(gateways.length);
      const gateway = gateways[place];
      if (gateway === undefined) {
        continue;
      }
      const hasRoom = [...running.values()].some((runs) => runs.length < slots);
      const choice = gateway.chooser.choose({ service, model, tried: new Set() }, now);
      if (choice.type !== 'target') {
        heldBack += hasRoom ? 1 : 0;
        overload += hasRoom ? 0 : 1;
        continue;
      }
      const { target } = choice;
      const runs = running.get(target.key) ?? [];
      pairs.add(`${place} ${target.key}`);
      if (runs.length >= slots) {
        turnedAway += hasRoom ? 1 : 0;
        overload += hasRoom ? 0 : 1;
        gateway.loads.noteLoad(target, { running: runs.length, waiting: 0, slots }, now);
        continue;
      }
      gateway.loads.noteSent(target);
      runs.push({ gateway, target, endsAt: now + meanWork * drawExponential(random) });
      // The head of the answer tells the load.
      gateway.loads.noteLoad(target, { running: runs.length, waiting: 0, slots }, now);
    }
    imbalance += measureImbalance(running);
    ticks += 1;
  }
  const busiest = imbalance / ticks;
  return { requests, turnedAway, heldBack, overload, busiest, pairs: pairs.size };
}

function createView(heads: number): RoutingView {
  const groups = Array.from({ length: heads }, (_, index): [string, EngineGroup] => {
    const name = `${model}/${index}`;
    const address = `10.0.0.${index}:1`;
    const members = [{ host: name, instance: { id: `i-${index}` }, address }];
    return [
      name,
      { name, service: 'engines', model, members, fencingNumber: index + 1, phase: 'open' },
    ];
  });
  return { ...emptyRoutingView, engineGroups: new Map(groups) };
}

function createGateway(
  view: RoutingView,
  random: RandomSource,
  place: GatewayPlace | undefined,
): Gateway {
  const loads = new TargetLoads();
  const options = { readView: () => view, loads, readPlace: () => place, random };
  return { loads, chooser: new TargetChooser(options) };
}

function endRuns(running: Map<string, Run[]>, now: Milliseconds): void {
  for (const [key, runs] of running) {
    const ended = runs.filter(({ endsAt }) => endsAt <= now);
    ended.forEach(({ gateway, target }) => {
      gateway.loads.noteDone(target);
    });
    if (ended.length > 0) {
      running.set(
        key,
        runs.filter(({ endsAt }) => endsAt > now),
      );
    }
  }
}

function measureImbalance(running: ReadonlyMap<string, readonly Run[]>): number {
  const counts = [...running.values()].map(({ length }) => length);
  const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
  return mean === 0 ? 1 : Math.max(...counts) / mean;
}

/** Of mean 1. */
function drawExponential(random: RandomSource): number {
  return -Math.log(1 - random.fraction());
}
