import {
  createRandomSource,
  type Milliseconds,
  type RandomSource,
} from '../../src/common/index.js';
import {
  RequestPermits,
  TargetChooser,
  TargetLoads,
  UpstreamAvailability,
  type GatewayPosition,
  type Target,
} from '../../src/dispatch/index.js';
import type { EngineGroup, RoutedService } from '../../src/routing/index.js';
import { emptyRoutingView, type RoutingView } from '../../src/watch/index.js';
import { engineProfile } from '../routing/documents.js';

/**
 * Simulates, in virtual time, gateways that send requests to heads of groups with the real choosers. Each gateway knows its own requests and
 * the load that heads report in their responses to it. A head runs as many requests as it has slots; others wait in its queue. Requests for
 * which no head has capacity wait at their gateway, which sends the newest first, and are refused after a while.
 */

/** Parameters of the simulation. */
export interface PlacementOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly heads: number;
  /** Concurrent demand as a fraction of all slots. */
  readonly load: number;
  /** Factor of the load in the middle third of the duration. */
  readonly burst: number;
  readonly duration: Milliseconds;
  /** Share of the requests that one gateway gets in the middle third of the duration; by default all get as many. */
  readonly concentration?: number;
  /** Longest time to the first event that is in time. */
  readonly objective?: Milliseconds;
  /** Whether gateways know their positions. */
  readonly knowPositions: boolean;
}

/** Counts of requests by outcome, and measures of the distribution over heads. */
export interface PlacementResult {
  readonly requests: number;
  /** Requests that started within the objective. */
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Requests that were queued at a head while another head had a free slot. */
  readonly avoidablyQueued: number;
  readonly longestQueue: number;
  /** Maximum number of requests at a head divided by the mean over all heads, averaged over time. */
  readonly imbalance: number;
  /** Share of the requests that were in time, in the first and in the middle third of the duration. */
  readonly inTimeShares: { readonly before: number; readonly during: number };
  /** Pairs of a gateway and a head that were used; each requires a connection. */
  readonly pairs: number;
}

const slots = 24;
const meanWork: Milliseconds = 1200;
/** Time from the start of a request to its first event. */
const prefillTime: Milliseconds = 40;
const defaultObjective: Milliseconds = 500;
const maximumWait: Milliseconds = 500;
const tick: Milliseconds = 5;
const model = 'small';
const service: RoutedService = {
  name: 'engines',
  maximumConnections: 600,
  engine: { ...engineProfile, slots },
};

interface Request {
  readonly gateway: Gateway;
  readonly arrivedAt: Milliseconds;
}

interface Gateway {
  readonly name: number;
  readonly chooser: TargetChooser;
  readonly loads: TargetLoads;
  waiting: Request[];
}

interface Head {
  readonly target: Target;
  queue: Request[];
  running: { readonly request: Request; readonly endsAt: Milliseconds }[];
}

/** Simulates requests for one model that arrive at random gateways and have random durations. */
export function simulatePlacement(options: PlacementOptions): PlacementResult {
  const world = new PlacementSimulation(options);
  for (let now = 0; now < options.duration; now += tick) {
    world.step(now);
  }
  return world.result;
}

class PlacementSimulation {
  readonly #options: PlacementOptions;
  readonly #gateways: readonly Gateway[];
  readonly #heads: ReadonlyMap<string, Head>;
  readonly #work: RandomSource;
  /** A separate source, so that the arrivals do not depend on the outcomes. */
  readonly #arrivals: RandomSource;
  readonly #pairs = new Set<string>();
  #counts = { requests: 0, inTime: 0, late: 0, refused: 0, avoidablyQueued: 0, longestQueue: 0 };
  /** Requests by the third of the duration in which they arrived. */
  readonly #thirds = [0, 1, 2].map(() => ({ requests: 0, inTime: 0 }));
  #due = 0;
  #imbalance = 0;
  #steps = 0;

  constructor(options: PlacementOptions) {
    const { seed, gateways, heads, knowPositions } = options;
    this.#options = options;
    this.#work = createRandomSource(seed);
    this.#arrivals = createRandomSource(seed);
    const view = createView(heads);
    this.#gateways = Array.from({ length: gateways }, (_, position) => {
      const place = knowPositions ? { gateways, position } : undefined;
      return createGateway(view, createRandomSource(seed * 1000 + position), position, place);
    });
    const targets = this.#gateways[0]?.chooser.listTargets(service, model) ?? [];
    this.#heads = new Map(
      targets.map((target) => [target.key, { target, queue: [], running: [] }]),
    );
  }

  get result(): PlacementResult {
    const imbalance = this.#imbalance / this.#steps;
    const [before = 0, during = 0] = this.#thirds.map(({ requests, inTime }) => inTime / requests);
    return {
      ...this.#counts,
      imbalance,
      pairs: this.#pairs.size,
      inTimeShares: { before, during },
    };
  }

  step(now: Milliseconds): void {
    this.#arrive(now);
    for (const head of this.#heads.values()) {
      this.#endRuns(head, now);
      this.#beginRuns(head, now);
      this.#counts.longestQueue = Math.max(this.#counts.longestQueue, head.queue.length);
    }
    this.#gateways.forEach((gateway) => {
      this.#retry(gateway, now);
    });
    this.#imbalance += this.#measureImbalance();
    this.#steps += 1;
  }

  #arrive(now: Milliseconds): void {
    const { load, burst, heads } = this.#options;
    const third = this.#findThird(now);
    const isBurst = third === 1;
    const perTick = (load * (isBurst ? burst : 1) * heads * slots * tick) / meanWork;
    this.#due += perTick * drawExponential(this.#arrivals);
    for (; this.#due >= 1; this.#due -= 1) {
      this.#counts.requests += 1;
      this.#countInThird(now, 'requests');
      const gateway = this.#chooseGateway(third);
      if (gateway !== undefined) {
        gateway.waiting.push({ gateway, arrivedAt: now });
      }
    }
  }

  #chooseGateway(third: number): Gateway | undefined {
    const { concentration } = this.#options;
    const isConcentrated = concentration !== undefined && third === 1;
    if (isConcentrated && this.#arrivals.fraction() < concentration) {
      return this.#gateways[0];
    }
    return this.#gateways[this.#arrivals.integerBelow(this.#gateways.length)];
  }

  #findThird(time: Milliseconds): number {
    return Math.min(2, Math.floor((3 * time) / this.#options.duration));
  }

  #countInThird(arrivedAt: Milliseconds, kind: 'requests' | 'inTime'): void {
    const counts = this.#thirds[this.#findThird(arrivedAt)];
    if (counts !== undefined) {
      counts[kind] += 1;
    }
  }

  #retry(gateway: Gateway, now: Milliseconds): void {
    const newestFirst = gateway.waiting.reverse();
    gateway.waiting = [];
    for (const request of newestFirst) {
      if (now - request.arrivedAt > maximumWait) {
        this.#counts.refused += 1;
      } else if (!this.#send(request, now)) {
        gateway.waiting.unshift(request);
      }
    }
  }

  #send(request: Request, now: Milliseconds): boolean {
    const { gateway } = request;
    const choice = gateway.chooser.choose({ service, model, tried: new Set() }, now);
    const head = choice.type === 'target' ? this.#heads.get(choice.target.key) : undefined;
    if (head === undefined) {
      return false;
    }
    const isCrowded = !hasFreeSlot(head) && [...this.#heads.values()].some(hasFreeSlot);
    this.#counts.avoidablyQueued += isCrowded ? 1 : 0;
    this.#pairs.add(`${gateway.name} ${head.target.key}`);
    gateway.loads.noteSent(head.target);
    head.queue.push(request);
    return true;
  }

  #endRuns(head: Head, now: Milliseconds): void {
    const ended = head.running.filter(({ endsAt }) => endsAt <= now);
    head.running = head.running.filter(({ endsAt }) => endsAt > now);
    ended.forEach(({ request }) => {
      request.gateway.loads.noteDone(head.target, true);
    });
  }

  #beginRuns(head: Head, now: Milliseconds): void {
    while (head.running.length < slots) {
      const request = head.queue.shift();
      if (request === undefined) {
        return;
      }
      const { objective = defaultObjective } = this.#options;
      const isInTime = now + prefillTime - request.arrivedAt <= objective;
      this.#counts[isInTime ? 'inTime' : 'late'] += 1;
      if (isInTime) {
        this.#countInThird(request.arrivedAt, 'inTime');
      }
      head.running.push({ request, endsAt: now + meanWork * drawExponential(this.#work) });
      const { loads } = request.gateway;
      const load = { running: head.running.length, waiting: head.queue.length, slots };
      // The response headers report the load.
      loads.noteAnswered(head.target);
      loads.noteLoad(head.target, load, now);
    }
  }

  #measureImbalance(): number {
    const counts = [...this.#heads.values()].map(({ running, queue }) => {
      return running.length + queue.length;
    });
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
    return mean === 0 ? 1 : Math.max(...counts) / mean;
  }
}

function hasFreeSlot({ running, queue }: Head): boolean {
  return running.length + queue.length < slots;
}

function createView(heads: number): RoutingView {
  const groups = Array.from({ length: heads }, (_, index): [string, EngineGroup] => {
    const name = `${model}/${index}`;
    const address = `10.0.0.${index}:1`;
    const members = [{ host: name, instance: { id: `i-${index}` }, address }];
    const group = { name, service: service.name, model, members, fencingNumber: index + 1 };
    return [name, { ...group, phase: 'open' }];
  });
  return { ...emptyRoutingView, engineGroups: new Map(groups) };
}

function createGateway(
  view: RoutingView,
  random: RandomSource,
  name: number,
  place: GatewayPosition | undefined,
): Gateway {
  const loads = new TargetLoads();
  const permits = new RequestPermits(1, 0);
  const availability = new UpstreamAvailability();
  const shared = { loads, availability, permits, random };
  const options = { ...shared, readView: () => view, readPosition: () => place };
  return { name, loads, chooser: new TargetChooser(options), waiting: [] };
}

/** Draws from an exponential distribution with mean 1. */
function drawExponential(random: RandomSource): number {
  return -Math.log(1 - random.fraction());
}
