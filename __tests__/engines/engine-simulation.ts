import type { Milliseconds, RandomSource } from '../../src/common/index.js';
import { EngineDirectory, LoadBudget } from '../../src/control/routing/index.js';
import {
  applyCommand,
  initialControlState,
  type ControlState,
} from '../../src/control/state/index.js';
import {
  ExchangeHistory,
  planEngineGroups,
  type EngineDecision,
  type EngineExchange,
  type ModelOutcome,
} from '../../src/engines/index.js';
import {
  InstanceSet,
  type EngineFacts,
  type EngineGroup,
  type EngineProfile,
  type EngineReading,
  type InstanceIdentity,
} from '../../src/routing/index.js';
import { EngineController, type EngineEvent, type EngineOrder } from '../../src/sidecar/index.js';
import { createDocument, engineProfile } from '../routing/documents.js';

/**
 * Simulates engines in virtual time, together with the real controllers of sidecars and the real planner and state of control.
 * Reports and orders are delayed according to the options; reports of partitioned hosts are lost.
 */

const rejoinDuration: Milliseconds = 200;
const stallDuration: Milliseconds = 6000;
/** Before the first request, a load takes this fraction of its usual time. */
const earlyLoadFactor = 0.1;

interface SimulatedGroup {
  readonly name: string;
  readonly fencingNumber: number;
  readonly members: readonly string[];
  readonly model: string;
  state: 'joining' | 'ready' | 'opening' | 'open' | 'broken';
  changesAt: Milliseconds;
}

class SimulatedEngine {
  isAlive = true;
  isDraining = false;
  group: SimulatedGroup | undefined;
  staged: string[] = [];
  lastModel: string | undefined;
  stagingModel: string | undefined;
  stagedAt = 0;
  highestFencingNumber = 0;

  constructor(
    readonly instance: string,
    readonly startedAt: Milliseconds,
  ) {}

  get identity(): InstanceIdentity {
    return { id: this.instance, startedAt: this.startedAt };
  }
}

interface Scheduled {
  readonly at: Milliseconds;
  readonly run: () => void;
}

/** One host with an engine and its sidecar. */
class SimulatedHost {
  engine: SimulatedEngine;
  controller: EngineController;
  incarnation = 0;
  sequence = 0;
  isSidecarAlive = true;
  isPartitioned = false;
  /** Result when the sidecar queries a running engine. */
  readResult: 'read' | 'unanswered' | 'notIdentified' = 'read';
  /** Time until which the sidecar waits for the first answer of its engine. */
  readableFrom: Milliseconds = 0;

  constructor(
    readonly name: string,
    readonly domain: string,
  ) {
    this.engine = new SimulatedEngine(`${name}-0`, 0);
    this.controller = new EngineController(name);
  }
}

/** Size of the simulated system and the faults in it. */
export interface SimulationOptions {
  readonly random: RandomSource;
  readonly hostCount: number;
  readonly domainSize: number;
  /** Fraction of the orders that get no answer and are executed seconds later. */
  readonly lateOrderShare: number;
  /** Models and durations; those of the test documents by default. */
  readonly profile?: EngineProfile;
  /** Demand in concurrent requests, by model, once there is traffic. */
  readonly demand?: ReadonlyMap<string, number>;
  /** Injects a fault into each decision, to show that the checks detect it. */
  readonly mutate?: (decision: EngineDecision, groups: readonly EngineGroup[]) => EngineDecision;
}

export class EngineSimulation {
  readonly violations: string[] = [];
  readonly hosts: SimulatedHost[] = [];
  now: Milliseconds = 0;
  /** Once set, loads take their full time and are limited. */
  hasTraffic = false;
  state: ControlState;
  readonly #options: SimulationOptions;
  readonly #profile: EngineProfile;
  #scheduled: Scheduled[] = [];
  #directory = new EngineDirectory();
  #phases = new Map<string, { readonly phase: string; readonly since: Milliseconds }>();
  /** Members that have been ready, by group and fencing number. */
  readonly #ready = new Map<string, Set<string>>();
  readonly #leaving = new InstanceSet();
  readonly #loads = new LoadBudget();
  readonly #evacuations = new Map<string, Milliseconds>();
  readonly #exchanges = new ExchangeHistory();
  /** Demand in concurrent requests, by model, once there is traffic. */
  demand: ReadonlyMap<string, number>;
  /** Outcomes within the last seconds; undefined if planning does not weigh models by them. */
  outcomes: ReadonlyMap<string, ModelOutcome> | undefined;
  readonly exchangeLog: (EngineExchange & { readonly at: Milliseconds })[] = [];
  #staging: ReadonlyMap<string, string> = new Map();

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.demand = options.demand ?? new Map();
    this.#profile = options.profile ?? engineProfile;
    for (let index = 0; index < options.hostCount; index += 1) {
      const domain = `d${Math.floor(index / options.domainSize)}`;
      this.hosts.push(new SimulatedHost(`h${index}`, domain));
    }
    const document = createDocument({
      services: [{ name: 'engines', maximumConnections: 400, engine: this.#profile }],
      routes: [],
    });
    this.state = applyCommand(initialControlState, { type: 'putRouting', at: 0, document }).state;
  }

  get openGroups(): readonly EngineGroup[] {
    return [...this.state.routing.engineGroups.values()].filter(({ phase }) => phase === 'open');
  }

  /** Advances time in steps of 20 ms, in which sidecars query their engines and control plans. */
  run(duration: Milliseconds): void {
    const end = this.now + duration;
    while (this.now < end) {
      this.now += 20;
      this.#runScheduled();
      this.hosts.forEach((host) => {
        this.#advanceEngine(host.engine);
        this.#stepSidecar(host);
      });
      this.#plan();
    }
  }

  /** Adds a host with an engine that has no weights. */
  addHost(domain: string): void {
    this.hosts.push(new SimulatedHost(`h${this.hosts.length}`, domain));
  }

  killEngine(host: SimulatedHost): void {
    host.engine.isAlive = false;
  }

  restartEngine(host: SimulatedHost): void {
    const { staged, instance } = host.engine;
    host.engine = new SimulatedEngine(`${instance}+`, this.now);
    host.engine.staged = staged;
  }

  /** Restarts the engine under the same id. */
  restartEngineUnderItsId(host: SimulatedHost): void {
    const { staged, instance } = host.engine;
    host.engine = new SimulatedEngine(instance, this.now);
    host.engine.staged = staged;
  }

  restartSidecar(host: SimulatedHost): void {
    host.controller = new EngineController(host.name);
    host.incarnation += 1;
    host.sequence = 0;
  }

  /** Restarts the sidecar, which reports to the leader of control before its engine first answers, after the given delay. */
  restartSidecarThatReportsFirst(host: SimulatedHost, answerDelay: Milliseconds): void {
    this.restartSidecar(host);
    host.readableFrom = this.now + answerDelay;
    this.#report(host);
  }

  drain(host: SimulatedHost): void {
    this.#leaving.add(host.engine.identity);
  }

  /** Evacuates a failure domain, which is the same as the fabric domain here. */
  evacuate(domain: string): void {
    this.#evacuations.set(domain, this.now);
  }

  endEvacuation(domain: string): void {
    this.#evacuations.delete(domain);
  }

  /** Another control host becomes leader. It has the replicated state but no reports. */
  changeLeader(): void {
    this.#directory = new EngineDirectory();
    this.#phases = new Map();
  }

  #at(delay: Milliseconds, run: () => void): void {
    this.#scheduled.push({ at: this.now + delay, run });
  }

  #runScheduled(): void {
    const due = this.#scheduled.filter(({ at }) => at <= this.now);
    this.#scheduled = this.#scheduled.filter(({ at }) => at > this.now);
    due.forEach(({ run }) => {
      run();
    });
  }

  #stepSidecar(host: SimulatedHost): void {
    if (!host.isSidecarAlive || this.now < host.readableFrom) {
      return;
    }
    const { controller } = host;
    if (!host.isPartitioned) {
      const group = [...this.state.routing.engineGroups.values()].find(({ members }) =>
        members.some((member) => member.host === host.name),
      );
      controller.handle({ type: 'assigned', group });
    }
    const order = controller.handle(this.#ask(host));
    if (!host.isPartitioned) {
      this.#report(host);
    }
    if (order !== undefined) {
      this.#send(host.engine, order);
    }
  }

  #ask(host: SimulatedHost): EngineEvent {
    if (!host.engine.isAlive) {
      return { type: 'refused' };
    }
    switch (host.readResult) {
      case 'read':
        return { type: 'read', now: this.now, reading: this.#read(host) };
      case 'unanswered':
        return { type: 'unanswered', now: this.now };
      case 'notIdentified':
        return { type: 'notIdentified' };
    }
  }

  #read({ engine, domain }: SimulatedHost): EngineReading {
    const { group } = engine;
    const state = group?.state === 'opening' ? 'ready' : group?.state;
    return {
      instance: engine.identity,
      fabricDomain: domain,
      staged: engine.staged,
      ...(group === undefined || state === undefined
        ? {}
        : { membership: { group: group.name, fencingNumber: group.fencingNumber, state } }),
      isBusy: engine.stagingModel !== undefined || group?.state === 'joining',
      running: 0,
      waiting: 0,
      slowdown: 1,
    };
  }

  #report(host: SimulatedHost): void {
    const { controller } = host;
    const facts: EngineFacts = {
      failureDomain: host.domain,
      address: '10.0.0.1:1',
      service: 'engines',
      ...(controller.reading === undefined ? {} : { reading: controller.reading }),
      ...(controller.absence === undefined ? {} : { absence: controller.absence }),
      ...(controller.lastModel === undefined ? {} : { lastModel: controller.lastModel }),
    };
    host.sequence += 1;
    const report = {
      host: host.name,
      incarnation: String(host.incarnation),
      sequence: host.sequence,
      facts,
    };
    const directory = this.#directory;
    this.#at(this.#options.random.integerBelow(30), () => {
      directory.update(report, this.now);
    });
  }

  #send(engine: SimulatedEngine, order: EngineOrder): void {
    const isLate = this.#options.random.fraction() < this.#options.lateOrderShare;
    const delay = isLate ? 2000 + this.#options.random.integerBelow(10_000) : 0;
    this.#at(delay, () => {
      this.#executeOrder(engine, order);
    });
  }

  #executeOrder(engine: SimulatedEngine, order: EngineOrder): void {
    if (!engine.isAlive) {
      return;
    }
    switch (order.type) {
      case 'join':
        this.#join(engine, order);
        return;
      case 'open':
        if (this.#isIn(engine, order) && engine.group?.state === 'ready') {
          engine.group.state = 'opening';
          engine.group.changesAt = this.now + this.#profile.openDuration;
        }
        return;
      case 'close':
        if (this.#isIn(engine, order) && engine.group !== undefined) {
          engine.group.state = 'ready';
          engine.group.changesAt = Number.POSITIVE_INFINITY;
        }
        return;
      case 'leave':
        if (this.#isIn(engine, order)) {
          engine.group = undefined;
        }
        return;
      case 'stage':
        engine.stagingModel = order.model;
        engine.stagedAt = this.now + this.#loadTime(order.model);
    }
  }

  #isIn(engine: SimulatedEngine, order: { group: string; fencingNumber: number }): boolean {
    const { group } = engine;
    return group?.name === order.group && group.fencingNumber === order.fencingNumber;
  }

  #join(engine: SimulatedEngine, order: Extract<EngineOrder, { type: 'join' }>): void {
    const { group, fencingNumber, members, model } = order;
    if (fencingNumber < engine.highestFencingNumber || this.#isIn(engine, order)) {
      return;
    }
    this.#checkNotSplit(engine, order);
    engine.highestFencingNumber = fencingNumber;
    const isRejoin = engine.lastModel === model;
    const isStaged = engine.staged.includes(model);
    const known = this.#profile.models.find(({ name }) => name === model);
    const joinTime = known?.stagedJoinDuration ?? 0;
    const duration = isRejoin ? rejoinDuration : joinTime + (isStaged ? 0 : this.#loadTime(model));
    const changesAt = this.now + duration;
    engine.group = { name: group, fencingNumber, members, model, state: 'joining', changesAt };
  }

  #loadTime(model: string): Milliseconds {
    const known = this.#profile.models.find(({ name }) => name === model);
    return (known?.loadDuration ?? 0) * (this.hasTraffic ? 1 : earlyLoadFactor);
  }

  /** Checks that an engine does not join another group while the head of its own group is open, even if the head is stalled. */
  #checkNotSplit(engine: SimulatedEngine, order: { group: string; fencingNumber: number }): void {
    const own = engine.group;
    const headInstance = own?.members[0];
    const head = this.hosts
      .map(({ engine: each }) => each)
      .find((each) => {
        return each.isAlive && each.instance === headInstance;
      });
    const headGroup = head?.group;
    const isSameGroup =
      headGroup?.name === own?.name && headGroup?.fencingNumber === own?.fencingNumber;
    if (own !== undefined && isSameGroup && headGroup?.state === 'open') {
      this.violations.push(
        `${engine.instance} joins ${order.group} while the head of ${own.name} is open`,
      );
    }
  }

  #advanceEngine(engine: SimulatedEngine): void {
    if (!engine.isAlive) {
      return;
    }
    if (engine.stagingModel !== undefined && this.now >= engine.stagedAt) {
      engine.staged = [engine.stagingModel];
      engine.stagingModel = undefined;
    }
    const { group } = engine;
    if (group === undefined || this.now < group.changesAt) {
      return;
    }
    const key = `${group.name}#${group.fencingNumber}`;
    if (group.state === 'joining') {
      group.state = 'ready';
      group.changesAt = Number.POSITIVE_INFINITY;
      // Only a load stages a model; an engine that rejoins with its last model keeps the other model staged.
      if (engine.lastModel !== group.model && !engine.staged.includes(group.model)) {
        engine.staged = [group.model];
      }
      engine.lastModel = group.model;
      this.#ready.set(key, (this.#ready.get(key) ?? new Set()).add(engine.instance));
    } else if (group.state === 'opening') {
      group.state = 'open';
      group.changesAt = Number.POSITIVE_INFINITY;
      const missing = group.members.filter((member) => !this.#ready.get(key)?.has(member));
      if (missing.length > 0) {
        this.violations.push(`${group.name} opens but ${missing.join()} was never ready in it`);
      }
    }
    this.#breakIfIncomplete(engine);
  }

  #breakIfIncomplete(engine: SimulatedEngine): void {
    const { group } = engine;
    if (group?.state !== 'open') {
      return;
    }
    const isWhole = group.members.every((member) =>
      this.hosts.some(({ engine: each }) => {
        return each.isAlive && each.instance === member && each.group?.name === group.name;
      }),
    );
    if (isWhole) {
      group.changesAt = this.now + stallDuration;
    } else if (this.now >= group.changesAt) {
      group.state = 'broken';
    }
  }

  #recordLoads(staging: ReadonlyMap<string, string>): void {
    for (const [host, model] of staging) {
      if (this.hasTraffic && this.#staging.get(host) !== model) {
        this.#loads.recordOrdered({ host, model }, this.now);
      }
    }
    this.#staging = staging;
  }

  #plan(): void {
    const { document, engineGroups, engineGroupsIndex } = this.state.routing;
    const groups = [...engineGroups.values()].map((group) => {
      const known = this.#phases.get(group.name);
      const since = known?.phase === group.phase ? known.since : this.now;
      this.#phases.set(group.name, { phase: group.phase, since });
      return { group, phaseAge: this.now - since };
    });
    const planned = planEngineGroups({
      services: document?.services ?? [],
      groups,
      engines: this.#directory.describe(this.now),
      leaving: this.#leaving,
      hasTraffic: this.hasTraffic,
      isSettling: false,
      loadsAllowed: this.hasTraffic ? this.#loads.countAllowed(this.#profile, this.now) : 5,
      pendingStaging: this.#staging,
      evacuations: new Map(
        [...this.#evacuations].map(([domain, since]) => [domain, this.now - since]),
      ),
      demand: this.hasTraffic ? this.demand : new Map(),
      losses:
        this.outcomes === undefined || !this.hasTraffic
          ? undefined
          : { outcomes: this.outcomes, exchanges: this.#exchanges.describe(this.now) },
      nextNumber: this.state.fencingNumber + 1,
    });
    const decision = this.#options.mutate?.(planned, [...engineGroups.values()]) ?? planned;
    const staging = new Map(decision.stage.map(({ host, model }) => [host, model]));
    this.#recordLoads(staging);
    this.#exchanges.record(planned.exchanges ?? [], this.now);
    this.exchangeLog.push(...(planned.exchanges ?? []).map((each) => ({ ...each, at: this.now })));
    for (const { name, controller } of this.hosts) {
      controller.handle({ type: 'stagingWanted', model: staging.get(name) });
    }
    if (decision.place.length + decision.advance.length + decision.remove.length === 0) {
      return;
    }
    const { state } = applyCommand(this.state, {
      type: 'planEngineGroups',
      at: 0,
      basedOn: engineGroupsIndex,
      place: decision.place,
      advance: decision.advance.map(({ name, phase }) => ({ name, phase })),
      remove: decision.remove.map(({ name }) => name),
    });
    this.state = state;
  }
}
