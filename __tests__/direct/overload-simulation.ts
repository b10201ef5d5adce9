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
} from '../../src/dispatch/index.js';
import type { EngineGroup, RoutedService } from '../../src/routing/index.js';
import { emptyRoutingView, type RoutingView } from '../../src/watch/index.js';
import { engineProfile } from '../routing/documents.js';
import { countOutcomes, type Caller } from './caller-outcomes.js';
import { EngineGroupSimulation } from './engine-group-simulation.js';
import type {
  Attempt,
  Gateway,
  Group,
  OverloadOptions,
  OverloadResult,
  Request,
} from './overload-types.js';

/**
 * Simulates, in virtual time, gateways that send requests to groups of engines with the real choosers, while a third of the groups is away
 * and a burst arrives. The requests in flight at a lost group are sent to another one. Requests for which no group has room wait at their
 * gateway and are refused after a while; callers of refused requests retry once.
 */

const slots = 34;
const maximumWait: Milliseconds = 500;
const timeLimit: Milliseconds = 4000;
const retryDelay: Milliseconds = 700;
const tick: Milliseconds = 5;
const model = 'small';
const service: RoutedService = {
  name: 'engines',
  maximumConnections: 600,
  engine: { ...engineProfile, slots },
};

export function simulateOverload(options: OverloadOptions): OverloadResult {
  const world = new OverloadSimulation(options);
  for (let now = 0; now < options.duration; now += tick) {
    world.step(now);
  }
  return world.readResult();
}

class OverloadSimulation {
  readonly #options: OverloadOptions;
  readonly #gateways: readonly Gateway[];
  readonly #groups: ReadonlyMap<string, Group>;
  readonly #view: RoutingView & { engineGroups: Map<string, EngineGroup> };
  readonly #arrivals: RandomSource;
  readonly #work: RandomSource;
  readonly #callers: Caller[] = [];
  readonly #retries: { readonly caller: Caller; readonly at: Milliseconds }[] = [];
  #events: { readonly at: Milliseconds; readonly run: () => void }[] = [];
  readonly #times: Milliseconds[] = [];
  #due = 0;
  #longestQueue = 0;
  #refusals = 0;
  #needlessRefusals = 0;
  #idleSlots = 0;
  #slotsSeen = 0;

  constructor(options: OverloadOptions) {
    const { seed, gateways, groups, pace } = options;
    this.#options = options;
    this.#arrivals = createRandomSource(seed);
    this.#work = createRandomSource(seed + 1);
    this.#view = { ...emptyRoutingView, engineGroups: new Map(createGroups(groups)) };
    this.#gateways = Array.from({ length: gateways }, (_, position) => {
      const random = createRandomSource(seed * 1000 + position);
      return this.#createGateway(random, position);
    });
    const targets = this.#gateways[0]?.chooser.listTargets(service, model) ?? [];
    this.#groups = new Map(
      targets.map((target) => {
        const engine = new EngineGroupSimulation<Attempt>(
          { slots, pace },
          {
            onFirstEvent: (attempt, at) => {
              this.#events.push({
                at,
                run: () => {
                  this.#begin(attempt, at);
                },
              });
            },
            onEnd: (attempt, at) => {
              this.#events.push({
                at,
                run: () => {
                  this.#end(attempt, at);
                },
              });
            },
          },
        );
        return [target.key, { target, engine, isAway: false }];
      }),
    );
  }

  step(now: Milliseconds): void {
    this.#switchGroups(now);
    this.#arrive(now);
    for (const { engine } of this.#groups.values()) {
      engine.advance(now);
      this.#longestQueue = Math.max(this.#longestQueue, engine.load.waiting);
    }
    const due = this.#events.filter(({ at }) => at <= now).sort((one, other) => one.at - other.at);
    this.#events = this.#events.filter(({ at }) => at > now);
    due.forEach(({ run }) => {
      run();
    });
    this.#gateways.forEach((gateway) => {
      this.#dispatch(gateway, now);
    });
    this.#measureIdleSlots();
  }

  readResult(): OverloadResult {
    const { duration, burstUntil, awayUntil } = this.#options;
    // Requests that arrive in the last seconds have no outcome yet.
    const until = duration - timeLimit;
    return {
      ...countOutcomes(this.#callers, until, Math.max(burstUntil, awayUntil)),
      refusals: this.#refusals,
      needlessRefusals: this.#needlessRefusals,
      longestQueue: this.#longestQueue,
      medianTimeAtGroup: findQuantile(this.#times, 0.5),
      tailTimeAtGroup: findQuantile(this.#times, 0.9),
      idleWhileWaiting: this.#idleSlots / Math.max(1, this.#slotsSeen),
    };
  }

  #createGateway(random: RandomSource, position: number): Gateway {
    const { gateways, limitsByObjective } = this.#options;
    const loads = new TargetLoads();
    const chooser = new TargetChooser({
      loads,
      permits: new RequestPermits(1, 0),
      availability: new UpstreamAvailability(),
      random,
      readView: () => this.#view,
      readPosition: () => ({ gateways, position }),
      limitsByObjective,
    });
    return { loads, chooser, waiting: [] };
  }

  #switchGroups(now: Milliseconds): void {
    const { awayFrom, awayUntil, slow } = this.#options;
    const second = [...this.#groups.values()][1];
    if (second !== undefined && slow !== undefined) {
      second.engine.slowdown = now >= slow.from && now < slow.until ? slow.factor : 1;
    }
    const isAway = now >= awayFrom && now < awayUntil;
    [...this.#groups.values()].forEach((group, index) => {
      if (index % 3 !== 0 || group.isAway === isAway) {
        return;
      }
      group.isAway = isAway;
      const { key } = group.target;
      const known = this.#view.engineGroups.get(key);
      if (known !== undefined) {
        this.#view.engineGroups.set(key, { ...known, phase: isAway ? 'closing' : 'open' });
      }
      for (const [attempt, unwritten] of group.engine.clear()) {
        this.#lose(attempt, unwritten, now);
      }
    });
  }

  #lose(attempt: Attempt, unwritten: number, now: Milliseconds): void {
    const { request, target, hasBegun } = attempt;
    const { gateway } = request;
    attempt.isLost = true;
    attempt.dispatch?.release();
    gateway.loads.noteDone(target, hasBegun);
    request.isUrgent = true;
    request.answer = unwritten;
    if (now - request.caller.startedAt < timeLimit) {
      gateway.waiting.push(request);
    }
  }

  #arrive(now: Milliseconds): void {
    const { rate, burst, burstFrom, burstUntil, prompt, answer } = this.#options;
    const isBurst = now >= burstFrom && now < burstUntil;
    this.#due += ((rate * (isBurst ? burst : 1) * tick) / 1000) * drawExponential(this.#arrivals);
    for (; this.#due >= 1; this.#due -= 1) {
      const caller: Caller = {
        startedAt: now,
        prompt: Math.ceil(prompt * drawExponential(this.#work)),
        answer: Math.ceil(answer * drawExponential(this.#work)),
        outcome: 'open',
      };
      this.#callers.push(caller);
      this.#receive(caller, now, false);
    }
    while (this.#retries[0] !== undefined && this.#retries[0].at <= now) {
      const { caller } = this.#retries.shift() ?? {};
      if (caller !== undefined) {
        this.#receive(caller, now, true);
      }
    }
  }

  #receive(caller: Caller, now: Milliseconds, isRetry: boolean): void {
    const gateway = this.#chooseGateway();
    gateway?.waiting.push({
      caller,
      gateway,
      arrivedAt: now,
      isRetry,
      tried: new Set(),
      isUrgent: false,
      answer: caller.answer,
    });
  }

  #chooseGateway(): Gateway | undefined {
    const { concentration } = this.#options;
    return concentration !== undefined && this.#arrivals.fraction() < concentration
      ? this.#gateways[0]
      : this.#gateways[this.#arrivals.integerBelow(this.#gateways.length)];
  }

  #dispatch(gateway: Gateway, now: Milliseconds): void {
    const ordered = this.#sort(gateway.waiting, now);
    gateway.waiting = [];
    for (const request of ordered) {
      const wait = request.isUrgent ? 3 * maximumWait : maximumWait;
      if (now - request.arrivedAt > wait && !request.isUrgent) {
        this.#refuse(request, now);
      } else if (!this.#send(request, now)) {
        gateway.waiting.push(request);
      }
    }
  }

  #sort(waiting: readonly Request[], now: Milliseconds): readonly Request[] {
    const { order, objective } = this.#options;
    const byArrival = [...waiting].sort((one, other) => one.arrivedAt - other.arrivedAt);
    if (order === 'newest') {
      return byArrival.reverse();
    }
    const isLate = ({ caller }: Request): boolean => now - caller.startedAt > objective;
    return [...byArrival.filter((each) => !isLate(each)), ...byArrival.filter(isLate)];
  }

  #refuse({ caller, isRetry }: Request, now: Milliseconds): void {
    const present = [...this.#groups.values()].filter(({ isAway }) => !isAway);
    const taken = present.reduce((sum, { engine }) => sum + engine.load.running, 0);
    const isAnyWaiting = present.some(({ engine }) => engine.load.waiting > 0);
    this.#needlessRefusals += taken < (present.length * slots) / 2 && !isAnyWaiting ? 1 : 0;
    this.#refusals += 1;
    if (isRetry) {
      caller.outcome = 'refused';
    } else {
      this.#retries.push({ caller, at: now + retryDelay });
    }
  }

  #send(request: Request, now: Milliseconds): boolean {
    const { gateway, caller, tried, isUrgent } = request;
    const { objective } = this.#options;
    const choice = gateway.chooser.choose(
      {
        service,
        model,
        tried,
        isUrgent,
        objective,
        startedAt: request.arrivedAt,
        tokens: caller.prompt,
      },
      now,
    );
    const group = choice.type === 'target' ? this.#groups.get(choice.target.key) : undefined;
    if (group === undefined) {
      return false;
    }
    const { target } = group;
    tried.add(target.key);
    gateway.loads.noteSent(target);
    const { prompt } = caller;
    const { answer } = request;
    const priority = isUrgent ? 0 : 1;
    const dispatch = gateway.chooser.noteSent(target, { service, model, tokens: prompt }, now);
    const attempt = {
      request,
      dispatch,
      target,
      sentAt: now,
      hasBegun: false,
      isLost: false,
      prompt,
      answer,
      priority,
    };
    group.engine.accept(attempt, now);
    return true;
  }

  #begin(attempt: Attempt, at: Milliseconds): void {
    const group = this.#groups.get(attempt.target.key);
    if (group === undefined || attempt.isLost) {
      return;
    }
    attempt.hasBegun = true;
    this.#times.push(at - attempt.sentAt);
    const { request, target } = attempt;
    const { caller, gateway } = request;
    gateway.loads.noteAnswered(target);
    gateway.loads.noteLoad(target, group.engine.load, at);
    attempt.dispatch?.noteFirstEvent(at);
    if (caller.outcome === 'open') {
      const isInTime = at - caller.startedAt <= this.#options.objective;
      caller.outcome = isInTime ? 'inTime' : 'late';
    }
  }

  #end({ request, target, isLost, dispatch }: Attempt, at: Milliseconds): void {
    if (isLost) {
      return;
    }
    dispatch?.noteComplete(at);
    dispatch?.release();
    request.gateway.loads.noteDone(target, true);
  }

  #measureIdleSlots(): void {
    if (!this.#gateways.some(({ waiting }) => waiting.length > 0)) {
      return;
    }
    for (const { engine, isAway } of this.#groups.values()) {
      if (!isAway) {
        const { running, waiting } = engine.load;
        this.#idleSlots += Math.max(0, slots - running - waiting);
        this.#slotsSeen += slots;
      }
    }
  }
}

function createGroups(count: number): readonly [string, EngineGroup][] {
  return Array.from({ length: count }, (_, index): [string, EngineGroup] => {
    const name = `${model}/${index}`;
    const address = `10.0.0.${index}:1`;
    const members = [{ host: name, instance: { id: `i-${index}` }, address }];
    const group = { name, service: service.name, model, members, fencingNumber: index + 1 };
    return [name, { ...group, phase: 'open' }];
  });
}

function drawExponential(random: RandomSource): number {
  return -Math.log(1 - random.fraction());
}

function findQuantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor(sorted.length * fraction)] ?? 0;
}
