import { createRandomSource, type Milliseconds } from '../../src/common/index.js';
import { configurationSchema } from '../../src/configuration/index.js';
import {
  defaultRequestLimits,
  RequestController,
  type RequestFacts,
  type RequestLimits,
} from '../../src/gateway/index.js';
import type {
  AttemptName,
  Group,
  GroupName,
  WatchedGroup,
  WatchedState,
} from '../../src/model/index.js';
import {
  AttemptController,
  createRequestId,
  defaultAttemptLimits,
  type AttemptLimits,
} from '../../src/sidecar/attempts/index.js';
import { FakeClaimLog } from './fake-claim-log.js';
import { FakeGateway, type CallerRecord, type CreateRequest } from './fake-gateway.js';
import { FakeSidecar, type CreateAttempts, type FakeWork } from './fake-sidecar.js';
import { FakeNetwork, noMessageFaults, type MessageFaults } from './network.js';
import { VirtualLoop } from './virtual-loop.js';

/** A few gateways and sidecars around the real decisions, on virtual time. */
export interface WorldOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly sidecars: number;
  /** Attempts that one engine takes at a time. */
  readonly concurrency: number;
  readonly faults?: MessageFaults;
  /** Share of claims that are answered late. */
  readonly uncertainClaims?: number;
  readonly createRequest?: CreateRequest;
  readonly createAttempts?: CreateAttempts;
  readonly requestLimits?: RequestLimits;
  readonly attemptLimits?: AttemptLimits;
}

/** A request that a caller sends in a world. */
export interface WorldRequest {
  readonly gateway: number;
  readonly account: string;
  readonly isNonIdempotent: boolean;
  readonly key: string | undefined;
  readonly timeout: Milliseconds;
  readonly work: FakeWork;
  readonly affinityKey: string;
}

/** One start of a request at an engine. */
export interface EngineStart {
  readonly name: AttemptName;
  readonly at: Milliseconds;
}

export const worldAccounts: readonly string[] = ['large', 'small', 'medium'];

const configuration = configurationSchema.parse({
  groups: [
    {
      name: 'assist',
      hosts: {},
      replicaSize: 1,
      carries: { model: 'assist-llm', version: '1' },
      reachableBy: { accounts: {} },
    },
  ],
  accounts: worldAccounts.map((name, index) => ({ name, keySha256: String(index).repeat(64) })),
});

/** How long after a restart the placement names the new incarnation. */
const placementDelay: Milliseconds = 300;
/** Virtual wall time starts here, so that request identifiers look as in a process. */
const wallStart = 0;

/** The real decisions of gateways and sidecars with fakes at their interfaces. */
export class World {
  readonly loop = new VirtualLoop();
  readonly records: CallerRecord[] = [];
  readonly starts: EngineStart[] = [];
  readonly sidecars: readonly FakeSidecar[];
  readonly gateways: readonly FakeGateway[];
  readonly #works = new Map<string, FakeWork>();
  #state: WatchedState;
  #fencingNumber = 1;
  #requests = 0;

  constructor(options: WorldOptions, finished: (record: CallerRecord) => void = () => undefined) {
    const random = createRandomSource(options.seed);
    const attemptLimits = options.attemptLimits ?? defaultAttemptLimits;
    const createAttempts =
      options.createAttempts ??
      ((incarnation) => new AttemptController(incarnation, attemptLimits));
    const readWork = (name: AttemptName): FakeWork => this.readWork(name.requestId);
    const observer = {
      started: (name: AttemptName, at: Milliseconds) => {
        this.starts.push({ name, at });
      },
    };
    const { loop } = this;
    this.sidecars = listNumbers(options.sidecars).map(
      (number) =>
        new FakeSidecar(
          loop,
          `10.0.0.${number}:1`,
          options.concurrency,
          createAttempts,
          readWork,
          observer,
        ),
    );
    this.#state = { revision: 1, configuration, groups: new Map(), isSynchronized: true };
    this.sidecars.forEach((_, index) => {
      this.place(index);
    });
    const shared = {
      loop,
      network: new FakeNetwork(loop, random, options.faults ?? noMessageFaults),
      random,
      sidecars: new Map(this.sidecars.map((sidecar) => [sidecar.address, sidecar])),
      readState: () => this.#state,
      claims: new FakeClaimLog(loop, random, options.uncertainClaims ?? 0),
      limits: options.requestLimits ?? defaultRequestLimits,
      create:
        options.createRequest ??
        ((facts, surroundings) => new RequestController(facts, surroundings)),
      finished,
    } satisfies ConstructorParameters<typeof FakeGateway>[0];
    this.gateways = listNumbers(options.gateways).map(() => new FakeGateway(shared));
  }

  /** What gateways know of groups and configuration. */
  get state(): WatchedState {
    return this.#state;
  }

  readWork(requestId: string): FakeWork {
    const work = this.#works.get(requestId);
    if (work === undefined) {
      throw new Error(`no caller sent ${requestId}`);
    }
    return work;
  }

  /** A caller sends a request now. */
  submit(request: WorldRequest): CallerRecord | undefined {
    this.#requests += 1;
    const id = createRequestId(wallStart + this.loop.now + 1, `r${this.#requests}`);
    this.#works.set(id, request.work);
    const { key, account } = request;
    const facts: RequestFacts = {
      id,
      account,
      accountWeight: 1,
      priority: 5,
      isNonIdempotent: request.isNonIdempotent,
      claim: key === undefined ? undefined : { key, fingerprint: 'same' },
      deadline: this.loop.now + request.timeout,
      route: {
        wanted: { type: 'model', model: 'assist-llm', version: undefined, adapter: undefined },
        account,
        affinityKey: request.affinityKey,
      },
    };
    const record = this.gateways[request.gateway]?.submit(facts);
    if (record !== undefined) {
      this.records.push(record);
    }
    return record;
  }

  /** A sidecar restarts; its group is placed again a little later. */
  restartSidecar(index: number): void {
    this.sidecars[index]?.restart();
    this.loop.after(placementDelay, () => {
      this.place(index);
    });
  }

  /** Places the group of a sidecar with its present incarnation. */
  place(index: number): void {
    const sidecar = this.sidecars[index];
    if (sidecar === undefined) {
      return;
    }
    this.#fencingNumber += 1;
    const { address, incarnation } = sidecar;
    const group: Group = {
      name: `assist/${index + 1}`,
      declaration: 'assist',
      fencingNumber: this.#fencingNumber,
      members: [{ host: `host-${index + 1}`, address, incarnation }],
      offer: { type: 'model', artifact: { model: 'assist-llm', version: '1', adapters: [] } },
      isDraining: false,
    };
    const groups = new Map<GroupName, WatchedGroup>(this.#state.groups);
    groups.set(group.name, { group, isServing: true });
    this.#state = { ...this.#state, groups };
  }

  /** Runs to a time, with a tick of every process each interval. */
  run(until: Milliseconds, tickInterval: Milliseconds): void {
    for (let at = this.loop.now + tickInterval; at <= until; at += tickInterval) {
      this.loop.runUntil(at);
      this.sidecars.forEach((sidecar) => {
        sidecar.tick();
      });
      this.gateways.forEach((gateway) => {
        gateway.tick();
      });
    }
  }
}

function listNumbers(count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}
