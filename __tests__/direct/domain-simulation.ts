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
  type Target,
  type TargetChoice,
} from '../../src/dispatch/index.js';
import {
  RouteTable,
  type EngineGroup,
  type Instance,
  type RoutedService,
} from '../../src/routing/index.js';
import { emptyRoutingView, type RoutingView } from '../../src/watch/index.js';
import { createDocument, engineProfile } from '../routing/documents.js';
import type {
  Attempt,
  DomainOptions,
  DomainResult,
  Gateway,
  Group,
  Request,
} from './domain-types.js';
import { EngineGroupSimulation, type GroupListener } from './engine-group-simulation.js';
import { InstanceSimulation } from './instance-simulation.js';

/**
 * Simulates, in virtual time, gateways and groups of engines in three failure domains that are far apart, with the real choosers. Demand
 * differs by domain; one group can be slow, and another one can fail part of its requests.
 */

const groupSlots = 34;
const instanceSlots = 6;
const prompt = 800;
/** Mean tokens of an answer; an instance of a plain service takes a millisecond for each. */
const answers = { groups: 150, instances: 80 };
const maximumWait: Milliseconds = 500;
const failureTime: Milliseconds = 30;
const tick: Milliseconds = 1;
const model = 'small';
const services: Readonly<Record<DomainOptions['upstreams'], RoutedService>> = {
  groups: {
    name: 'engines',
    maximumConnections: 600,
    engine: { ...engineProfile, slots: groupSlots },
  },
  instances: { name: 'desk', maximumConnections: 600 },
};

export function simulateDomains(options: DomainOptions): DomainResult {
  const world = new DomainSimulation(options);
  for (let now = 0; now < options.duration; now += tick) {
    world.step(now);
  }
  return world.result;
}

class DomainSimulation {
  readonly #options: DomainOptions;
  readonly #service: RoutedService;
  readonly #gateways: readonly Gateway[];
  readonly #groups: ReadonlyMap<string, Group>;
  readonly #view: RoutingView & {
    engineGroups: Map<string, EngineGroup>;
    instances: Map<string, Instance>;
  };
  readonly #arrivals: RandomSource;
  readonly #work: RandomSource;
  readonly #failures: RandomSource;
  #events: { readonly at: Milliseconds; readonly run: () => void }[] = [];
  #due: number[];
  #counts = { requests: 0, inTime: 0, late: 0, unserved: 0, abroad: 0, sent: 0 };
  readonly #sentTo: number[];

  constructor(options: DomainOptions) {
    const { seed, gateways, count, rates, slowdown = 1 } = options;
    this.#options = options;
    this.#service = services[options.upstreams];
    this.#arrivals = createRandomSource(seed);
    this.#work = createRandomSource(seed + 1);
    this.#failures = createRandomSource(seed + 2);
    this.#due = rates.map(() => 0);
    this.#sentTo = Array.from({ length: count }, () => 0);
    this.#view = createView(options);
    this.#gateways = Array.from({ length: gateways }, (_, position) => {
      return this.#createGateway(createRandomSource(seed * 1000 + position), position);
    });
    const targets = this.#gateways[0]?.chooser.listTargets(this.#service, model) ?? [];
    this.#groups = new Map(
      targets.map((target, index) => {
        const engine = this.#createEngine(target);
        engine.slowdown = index === 0 ? slowdown : 1;
        return [target.key, { target, index, engine }];
      }),
    );
  }

  get result(): DomainResult {
    return { ...this.#counts, sentTo: this.#sentTo };
  }

  step(now: Milliseconds): void {
    this.#loseDomain(now);
    this.#arrive(now);
    for (const { engine } of this.#groups.values()) {
      engine.advance(now);
    }
    const due = this.#events.filter(({ at }) => at <= now);
    this.#events = this.#events.filter(({ at }) => at > now);
    due
      .sort((one, other) => one.at - other.at)
      .forEach(({ run }) => {
        run();
      });
    for (const gateway of this.#gateways) {
      this.#dispatch(gateway, now);
    }
  }

  #createGateway(random: RandomSource, position: number): Gateway {
    const { gateways, rates } = this.#options;
    const domain = `domain-${position % rates.length}`;
    const loads = new TargetLoads();
    const chooser = new TargetChooser({
      loads,
      random,
      ownDomain: domain,
      permits: new RequestPermits(1, 0),
      availability: new UpstreamAvailability(),
      readView: () => this.#view,
      readPosition: () => ({ gateways, position }),
    });
    return { domain, chooser, loads, waiting: [] };
  }

  #createEngine(target: Target): Group['engine'] {
    const listener: GroupListener<Attempt> = {
      onFirstEvent: (attempt, at) => {
        const { load } = this.#groups.get(target.key)?.engine ?? {};
        this.#schedule(attempt, at, (arrived) => {
          attempt.gateway.loads.noteAnswered(target);
          if (load !== undefined) {
            attempt.gateway.loads.noteLoad(target, load, arrived);
          }
          attempt.dispatch?.noteFirstEvent(arrived);
          const isInTime = arrived - attempt.request.arrivedAt <= this.#options.objective;
          this.#counts[isInTime ? 'inTime' : 'late'] += 1;
        });
      },
      onEnd: (attempt, at) => {
        this.#schedule(attempt, at, (arrived) => {
          attempt.gateway.loads.noteDone(target, true);
          attempt.dispatch?.noteComplete(arrived);
          attempt.dispatch?.release();
        });
      },
    };
    return this.#options.upstreams === 'groups'
      ? new EngineGroupSimulation({ slots: groupSlots, pace: 0.6 }, listener)
      : new InstanceSimulation(instanceSlots, listener);
  }

  /** Runs `run` when what happens at the upstream at `at` arrives at the gateway. */
  #schedule(
    { gateway, target }: Pick<Attempt, 'gateway' | 'target'>,
    at: Milliseconds,
    run: (arrived: Milliseconds) => void,
  ): void {
    const arrived = at + this.#findDelay(gateway, target);
    this.#events.push({
      at: arrived,
      run: () => {
        run(arrived);
      },
    });
  }

  #findDelay({ domain }: Gateway, { failureDomain }: Target): Milliseconds {
    return domain === failureDomain ? 0 : this.#options.delay;
  }

  #loseDomain(now: Milliseconds): void {
    const { lostDomain, duration } = this.#options;
    if (lostDomain === undefined || now < duration / 3) {
      return;
    }
    for (const { target } of this.#groups.values()) {
      if (target.failureDomain === `domain-${lostDomain}`) {
        this.#view.engineGroups.delete(target.key);
        this.#view.instances.delete(target.instance.id);
      }
    }
  }

  #arrive(now: Milliseconds): void {
    this.#options.rates.forEach((rate, domain) => {
      let due = (this.#due[domain] ?? 0) + (rate * tick * drawExponential(this.#arrivals)) / 1000;
      const local = this.#gateways.filter((gateway) => gateway.domain === `domain-${domain}`);
      for (; due >= 1; due -= 1) {
        this.#counts.requests += 1;
        local[this.#arrivals.integerBelow(local.length)]?.waiting.push({
          arrivedAt: now,
          prompt: Math.ceil(prompt * drawExponential(this.#work)),
          answer: Math.ceil(answers[this.#options.upstreams] * drawExponential(this.#work)),
          tried: new Set(),
        });
      }
      this.#due[domain] = due;
    });
  }

  #dispatch(gateway: Gateway, now: Milliseconds): void {
    const newestFirst = gateway.waiting.reverse();
    gateway.waiting = [];
    for (const request of newestFirst) {
      if (now - request.arrivedAt > maximumWait) {
        this.#counts.unserved += 1;
      } else if (!this.#send(gateway, request, now)) {
        gateway.waiting.unshift(request);
      }
    }
  }

  #send(gateway: Gateway, request: Request, now: Milliseconds): boolean {
    const choice = this.#choose(gateway, request, now);
    const group = choice.type === 'target' ? this.#groups.get(choice.target.key) : undefined;
    if (group === undefined) {
      return false;
    }
    const { target, index, engine } = group;
    this.#counts.sent += 1;
    this.#counts.abroad += target.failureDomain === gateway.domain ? 0 : 1;
    this.#sentTo[index] = (this.#sentTo[index] ?? 0) + 1;
    request.tried.add(target.key);
    gateway.loads.noteSent(target);
    const work = { service: this.#service, model, tokens: request.prompt };
    const dispatch = gateway.chooser.noteSent(target, work, now);
    const attempt = { ...request, gateway, request, target, dispatch, priority: 1 };
    const isFailing = index === 1 && this.#failures.fraction() < (this.#options.failures ?? 0);
    const arrival = now + this.#findDelay(gateway, target);
    this.#events.push({
      at: arrival,
      run: () => {
        if (isFailing) {
          this.#fail(attempt, arrival + failureTime);
        } else {
          engine.accept(attempt, arrival);
        }
      },
    });
    return true;
  }

  #choose(gateway: Gateway, request: Request, now: Milliseconds): TargetChoice {
    const { policy, objective } = this.#options;
    const { arrivedAt: startedAt, prompt: tokens, tried } = request;
    const criteria = { service: this.#service, model, tokens, objective, startedAt };
    if (policy === 'nearest') {
      const abroad = [...this.#groups.values()].filter(
        ({ target }) => target.failureDomain !== gateway.domain,
      );
      const keys = abroad.map(({ target }) => target.key);
      const own = new Set([...tried, ...keys]);
      const choice = gateway.chooser.choose({ ...criteria, tried: own }, now);
      if (choice.type === 'target') {
        return choice;
      }
    }
    return gateway.chooser.choose({ ...criteria, tried }, now);
  }

  #fail(attempt: Attempt, at: Milliseconds): void {
    this.#schedule(attempt, at, (arrived) => {
      const { gateway, request, target, dispatch } = attempt;
      gateway.loads.noteAnswered(target);
      gateway.loads.noteDone(target, true);
      dispatch?.noteFailed(arrived);
      dispatch?.release();
      if (request.tried.size < 2) {
        gateway.waiting.push(request);
      } else {
        this.#counts.unserved += 1;
      }
    });
  }
}

function createView({ upstreams, count, rates, delay, policy }: DomainOptions): RoutingView & {
  engineGroups: Map<string, EngineGroup>;
  instances: Map<string, Instance>;
} {
  const { name: service } = services[upstreams];
  const engineGroups = new Map<string, EngineGroup>();
  const instances = new Map<string, Instance>();
  for (let index = 0; index < count; index += 1) {
    const name = `${model}/${index}`;
    const failureDomain = `domain-${index % rates.length}`;
    const address = `10.0.0.${index}:1`;
    const id = `i-${index}`;
    if (upstreams === 'groups') {
      const members = [{ host: name, instance: { id }, address, failureDomain }];
      const fencingNumber = index + 1;
      engineGroups.set(name, { name, service, model, members, fencingNumber, phase: 'open' });
    } else {
      instances.set(id, { id, service, address, failureDomain, isDraining: false });
    }
  }
  const names = rates.map((_, domain) => `domain-${domain}`);
  const domainDelays = names.flatMap((one, index) =>
    names.slice(index + 1).map((other) => ({ between: [one, other] as const, delay })),
  );
  const document = { ...createDocument(), ...(policy === 'time' && { domainDelays }) };
  const table = new RouteTable(document);
  return { ...emptyRoutingView, table, engineGroups, instances };
}

function drawExponential(random: RandomSource): number {
  return -Math.log(1 - random.fraction());
}
