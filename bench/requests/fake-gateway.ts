import type {
  Controller,
  Failure,
  Milliseconds,
  RandomSource,
  ResultCodeName,
} from '../../src/common/index.js';
import {
  LoadTracker,
  RetryBudget,
  Router,
  type AttemptTarget,
  type RequestEffect,
  type RequestEvent,
  type RequestFacts,
  type RequestLimits,
  type RequestDependencies,
} from '../../src/gateway/index.js';
import type { AttemptName, AttemptOrder, WatchedState } from '../../src/model/index.js';
import type { AttemptMessage } from '../../src/sidecar/attempts/index.js';
import type { FakeClaimLog } from './fake-claim-log.js';
import type { FakeSidecar } from './fake-sidecar.js';
import { FakeConnection, type FakeNetwork } from './network.js';
import type { VirtualLoop } from './virtual-loop.js';

/** Makes the decisions on one request. */
export type CreateRequest = (
  facts: RequestFacts,
  surroundings: RequestDependencies,
) => Controller<RequestEvent, RequestEffect>;

/** What a caller got, as it came. */
export interface CallerRecord {
  readonly facts: RequestFacts;
  readonly arrivedAt: Milliseconds;
  text: string;
  firstBytesAt: Milliseconds | undefined;
  finals: number;
  finishedAt: Milliseconds | undefined;
  /** `ok` for a whole answer; undefined while there is no final answer. */
  code: ResultCodeName | undefined;
  failure: Failure | undefined;
  attempts: number;
}

/** What fake gateways share. */
export interface GatewaySurroundings {
  readonly loop: VirtualLoop;
  readonly network: FakeNetwork;
  readonly random: RandomSource;
  readonly sidecars: ReadonlyMap<string, FakeSidecar>;
  readonly readState: () => WatchedState;
  readonly claims: FakeClaimLog;
  readonly limits: RequestLimits;
  readonly create: CreateRequest;
  /** Told when a request got its final answer. */
  readonly finished: (record: CallerRecord) => void;
}

interface OpenRequest {
  readonly record: CallerRecord;
  readonly controller: Controller<RequestEvent, RequestEffect>;
  readonly connections: Map<number, FakeConnection>;
}

const callTimeout: Milliseconds = 1000;
const connectTimeout: Milliseconds = 1;

/** A gateway's decisions on many requests, with its connections to sidecars. */
export class FakeGateway {
  readonly #shared: GatewaySurroundings;
  readonly #surroundings: RequestDependencies;
  readonly #connections = new Map<string, FakeConnection>();
  #open = new Set<OpenRequest>();
  #isDead = false;

  constructor(shared: GatewaySurroundings) {
    this.#shared = shared;
    const loads = new LoadTracker();
    this.#surroundings = {
      router: new Router(shared.readState, loads),
      loads,
      retryBudget: new RetryBudget(),
      random: shared.random,
      limits: shared.limits,
    };
  }

  /** Takes a caller's request. */
  submit(facts: RequestFacts): CallerRecord {
    const record: CallerRecord = {
      facts,
      arrivedAt: this.#shared.loop.now,
      text: '',
      firstBytesAt: undefined,
      finals: 0,
      finishedAt: undefined,
      code: undefined,
      failure: undefined,
      attempts: 0,
    };
    const controller = this.#shared.create(facts, this.#surroundings);
    const request: OpenRequest = { record, controller, connections: new Map() };
    this.#open.add(request);
    this.#handle(request, { type: 'arrived', now: this.#shared.loop.now });
    return record;
  }

  /** The process is gone: its callers hear nothing more, its streams close. */
  kill(): void {
    this.#isDead = true;
    this.#open = new Set();
  }

  /** Every open connection goes silent for good; new ones work. */
  silenceConnections(): void {
    for (const connection of this.#connections.values()) {
      connection.isSilent = true;
    }
  }

  tick(): void {
    for (const request of this.#open) {
      this.#handle(request, { type: 'tick', now: this.#shared.loop.now });
    }
  }

  #handle(request: OpenRequest, event: RequestEvent): void {
    if (this.#isDead) {
      return;
    }
    for (const effect of request.controller.handle(event)) {
      this.#carryOut(request, effect);
    }
  }

  #carryOut(request: OpenRequest, effect: RequestEffect): void {
    const { record } = request;
    switch (effect.type) {
      case 'claim':
        this.#claim(request);
        return;
      case 'settle':
        this.#shared.claims.settle(record.facts, effect.outcome);
        return;
      case 'run':
        record.attempts += 1;
        this.#run(request, effect);
        return;
      case 'resume':
        this.#resume(request, effect);
        return;
      case 'ask':
        this.#ask(request, effect.attempt, effect.target);
        return;
      case 'cancel':
        this.#cancel(request, effect.attempt, effect.target);
        return;
      case 'retireConnection':
        this.#retire(request.connections.get(effect.stream));
        return;
      case 'answerBytes':
        record.firstBytesAt ??= this.#shared.loop.now;
        record.text += Buffer.from(effect.bytes).toString();
        return;
      case 'answerEnd':
        this.#finish(request, 'ok', undefined);
        return;
      case 'answerFailure':
        this.#finish(request, effect.failure.code, effect.failure);
        return;
      case 'dropStream':
      case 'noticeRevision':
      case 'answerHead':
        return;
    }
  }

  #finish(request: OpenRequest, code: ResultCodeName, failure: Failure | undefined): void {
    const { record } = request;
    record.finals += 1;
    record.code = code;
    record.failure = failure;
    record.finishedAt = this.#shared.loop.now;
    this.#open.delete(request);
    this.#shared.finished(record);
  }

  #claim(request: OpenRequest): void {
    this.#shared.claims.claim(request.record.facts, (code) => {
      const now = this.#shared.loop.now;
      this.#handle(request, { type: 'claimAnswered', now, code, retryAfter: undefined });
    });
  }

  #run(request: OpenRequest, effect: Extract<RequestEffect, { readonly type: 'run' }>): void {
    const { target, attempt, stream } = effect;
    const { facts } = request.record;
    const sidecar = this.#shared.sidecars.get(target.address);
    const group = this.#shared.readState().groups.get(target.group)?.group;
    if (sidecar === undefined || group === undefined || sidecar.isDead) {
      this.#shared.loop.after(connectTimeout, () => {
        const now = this.#shared.loop.now;
        this.#handle(request, { type: 'closed', stream, now, wasSent: false });
      });
      return;
    }
    const order: AttemptOrder = {
      name: nameOf(request, attempt, target),
      group: target.group,
      fencingNumber: target.fencingNumber,
      configurationRevision: effect.configurationRevision,
      remaining: effect.remaining,
      account: facts.account,
      accountWeight: facts.accountWeight,
      priority: facts.priority,
      isNonIdempotent: facts.isNonIdempotent,
    };
    const connection = this.#connect(request, stream, target);
    this.#shared.network.deliver(connection, () => {
      sidecar.run(order, group, this.#listen(request, stream, connection));
    });
  }

  #resume(request: OpenRequest, effect: Extract<RequestEffect, { readonly type: 'resume' }>): void {
    const { target, attempt, stream, offset } = effect;
    const connection = this.#connect(request, stream, target);
    const name = nameOf(request, attempt, target);
    this.#shared.network.deliver(connection, () => {
      const sidecar = this.#shared.sidecars.get(target.address);
      sidecar?.resume(name, offset, this.#listen(request, stream, connection));
    });
  }

  #listen(
    request: OpenRequest,
    stream: number,
    connection: FakeConnection,
  ): (message: AttemptMessage | undefined) => void {
    return (message) => {
      this.#shared.network.deliver(connection, () => {
        const now = this.#shared.loop.now;
        this.#handle(
          request,
          message === undefined
            ? { type: 'closed', stream, now, wasSent: true }
            : { ...message, stream, now },
        );
      });
    };
  }

  #ask(request: OpenRequest, attempt: number, target: AttemptTarget): void {
    const { loop, network, sidecars } = this.#shared;
    const connection = this.#connect(request, undefined, target);
    const sidecar = sidecars.get(target.address);
    let isAnswered = false;
    if (sidecar !== undefined && !sidecar.isDead) {
      network.deliver(connection, () => {
        sidecar.ask(nameOf(request, attempt, target), (state) => {
          network.deliver(connection, () => {
            isAnswered = true;
            this.#handle(request, { type: 'askAnswered', now: loop.now, attempt, state });
          });
        });
      });
    }
    loop.after(sidecar?.isDead === true ? connectTimeout : callTimeout, () => {
      if (!isAnswered) {
        this.#retire(connection);
        this.#handle(request, { type: 'askFailed', now: loop.now, attempt });
      }
    });
  }

  #cancel(request: OpenRequest, attempt: number, target: AttemptTarget): void {
    const connection = this.#connect(request, undefined, target);
    this.#shared.network.deliver(connection, () => {
      this.#shared.sidecars.get(target.address)?.cancel(nameOf(request, attempt, target));
    });
  }

  #connect(
    request: OpenRequest,
    stream: number | undefined,
    target: AttemptTarget,
  ): FakeConnection {
    const known = this.#connections.get(target.address) ?? new FakeConnection();
    this.#connections.set(target.address, known);
    if (stream !== undefined) {
      request.connections.set(stream, known);
    }
    return known;
  }

  #retire(connection: FakeConnection | undefined): void {
    for (const [address, known] of this.#connections) {
      if (known === connection) {
        this.#connections.delete(address);
      }
    }
  }
}

function nameOf(request: OpenRequest, attempt: number, target: AttemptTarget): AttemptName {
  const requestId = request.record.facts.id;
  return { requestId, attempt, incarnation: target.incarnation };
}
