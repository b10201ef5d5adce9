import type { IncomingMessage } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import { Err, Ok, type Result } from 'ts-results';

import {
  assertNever,
  createFailure,
  InboundMemory,
  isBodyUnread,
  openServer,
  receiveBody,
  type Failure,
  type ManagedPart,
  type Milliseconds,
} from '../../common/index.js';
import type { Account } from '../../model/index.js';
import { CallerServer, type Exchange } from '../caller-server.js';
import { defaultRequestLimits } from '../limits.js';
import { LoadTracker } from '../load-tracker.js';
import { listModelNames } from '../reach.js';
import { RetryBudget } from '../retry-budget.js';
import { Router } from '../router.js';
import { findAccount } from './accounts.js';
import { AttemptConnections } from './attempt-connections.js';
import type { CallerRequest } from './caller-request.js';
import { CallerRequests } from './caller-requests.js';
import { defaultCallerLimits, defaultDrainLimits, type GatewayOptions } from './gateway-options.js';
import { matchRoute, type RouteMatch } from './paths.js';
import {
  parseChat,
  parseService,
  type ParseContext,
  type ParsedRequest,
} from './request-parser.js';
import { RequestRunner, type RequestOutcome, type RunnerDependencies } from './request-runner.js';

const defaultTimeout: Milliseconds = 300_000;
const tickInterval: Milliseconds = 50;
const socketKeepAlive: Milliseconds = 10_000;
const shortRetryAfter: Milliseconds = 1000;
/** Time before the hard limit at which what is not over gets its final answer, so that its bytes can leave. */
const maximumAnswerPeriod: Milliseconds = 500;

type ForwardedRouteMatch = Extract<RouteMatch, { readonly type: 'chat' | 'service' }>;

/** The HTTP server for callers, with the requests in flight. */
export class Gateway implements ManagedPart {
  readonly name = 'gateway';
  readonly #options: GatewayOptions;
  readonly #server: CallerServer;
  readonly #inbound: InboundMemory;
  readonly #connections = new AttemptConnections();
  readonly #dependencies: RunnerDependencies;
  readonly #requests: CallerRequests;
  readonly #runningByAccount = new Map<string, number>();
  #running = 0;
  /** Outcomes of claimed keys that are not recorded yet. */
  #settling = 0;
  #phase: 'serving' | 'unready' | 'stopping' = 'serving';
  #timer: NodeJS.Timeout | undefined;
  #loads = new LoadTracker();
  #unsubscribe: (() => void) | undefined;

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#inbound = options.inbound;
    this.#server = new CallerServer(options.clock, options.maximumConnections, (exchange) => {
      void this.#serve(exchange);
    });
    this.#requests = new CallerRequests({
      ...options,
      endsConnection: (response) => this.#server.endsConnection(response),
    });
    const limits = options.requestLimits ?? defaultRequestLimits;
    this.#dependencies = {
      router: new Router(options.watched.read, this.#loads),
      loads: this.#loads,
      retryBudget: new RetryBudget(),
      random: options.random,
      limits: { ...limits, maximumAnswerBytes: options.maximumAnswerBytes },
      clock: options.clock,
      logger: options.logger,
      connections: this.#connections,
      claims: options.claims,
      noticeRevision: options.watched.noticeRevision,
      trackSettlement: (settlement) => {
        this.#settling += 1;
        void settlement.finally(() => {
          this.#settling -= 1;
        });
      },
      callerLimits: options.callerLimits ?? defaultCallerLimits,
      ...(options.crashLedger === undefined ? {} : { crashLedger: options.crashLedger }),
    };
  }

  /** The port for callers; 0 until the gateway is open. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Number of requests without a final answer. */
  get inFlight(): number {
    return this.#running;
  }

  /** Whether new requests are refused because the process is shutting down. */
  get isStopping(): boolean {
    return this.#phase === 'stopping';
  }

  async open(): Promise<void> {
    this.#server.keepAliveTimeout = socketKeepAlive;
    await openServer(this.#server, this.#options.address);
    this.#unsubscribe = this.#options.watched.subscribe((state) => {
      this.#loads.retain(new Set(state.groups.keys()));
    });
    this.#timer = setInterval(() => {
      this.#requests.tick();
    }, tickInterval);
  }

  /**
   * Shuts down gracefully: reports unready and ends connections with their next response, then refuses new requests and waits for those in
   * flight. At the hard limit, those get their final answer.
   */
  async close(): Promise<void> {
    const { unreadyPeriod, hardLimit } = this.#options.drain ?? defaultDrainLimits;
    const stoppedAt = this.#now();
    const end = stoppedAt + unreadyPeriod + hardLimit;
    this.#phase = 'unready';
    this.#server.leave();
    this.#logOwed('finishing the requests of callers');
    await pause(unreadyPeriod);
    this.#phase = 'stopping';
    this.#server.close();
    this.#logOwed('port closed');
    await this.#waitForWork(end - Math.min(maximumAnswerPeriod, hardLimit / 2));
    this.#requests.shutDown(stoppedAt);
    await this.#waitForWork(end);
    clearInterval(this.#timer);
    this.#unsubscribe?.();
    this.#server.closeAllConnections();
    this.#connections.close();
  }

  #logOwed(message: string): void {
    const owed = this.#server.countExchanges();
    this.#options.logger.info({ connections: this.#server.connectionCount, owed }, message);
  }

  async #waitForWork(end: Milliseconds): Promise<void> {
    while (this.#server.exchanges.length + this.#settling > 0 && this.#now() < end) {
      await pause(tickInterval);
    }
  }

  async #serve(exchange: Exchange): Promise<void> {
    const caller = this.#requests.add(exchange);
    const { request } = exchange;
    try {
      await this.#answer(matchRoute(request.method ?? 'GET', request.url ?? '/'), caller);
    } catch (error) {
      this.#options.logger.error({ err: error, requestId: caller.id }, 'request failed');
      this.#fail(caller, createFailure('internal', ''));
    }
  }

  async #answer(route: RouteMatch, caller: CallerRequest): Promise<void> {
    const { request, response } = caller;
    switch (route.type) {
      case 'live':
        caller.sendText(200, 'live\n');
        return;
      case 'ready':
        this.#answerReady(caller);
        return;
      case 'unknown':
        this.#fail(caller, createFailure('unknownPath', request.url ?? ''));
        return;
      case 'wrongMethod':
        response.setHeader('allow', route.allowed);
        this.#fail(caller, createFailure('unsupportedMethod', request.method ?? ''));
        return;
      case 'models':
        this.#answerModels(caller);
        return;
      case 'chat':
      case 'service':
        await this.#answerRequest(route, caller);
        return;
      default:
        assertNever(route);
    }
  }

  #answerReady(caller: CallerRequest): void {
    const isReady = this.#phase === 'serving' && this.#options.watched.read().isSynchronized;
    caller.sendText(isReady ? 200 : 503, isReady ? 'ready\n' : 'not ready\n');
  }

  #answerModels(caller: CallerRequest): void {
    const account = this.#authenticate(caller.request);
    if (account.err) {
      this.#fail(caller, account.val);
      return;
    }
    const names = listModelNames(this.#options.watched.read(), account.val);
    const data = names.map((name) => ({ id: name, object: 'model', owned_by: 'pistachiospoke' }));
    caller.sendJson({ object: 'list', data });
  }

  async #answerRequest(route: ForwardedRouteMatch, caller: CallerRequest): Promise<void> {
    const { id, request } = caller;
    const admitted = this.#admit(request);
    if (admitted.err) {
      this.#fail(caller, admitted.val);
      return;
    }
    const body = await receiveBody(request, caller.response, {
      memory: this.#inbound,
      maximumBytes: this.#options.maximumBodyBytes,
    });
    if (caller.isAnswered) {
      return;
    }
    if (body.err) {
      this.#fail(caller, body.val);
      return;
    }
    const parsed = this.#parse(route, request, body.val.bytes, {
      id,
      receivedAt: caller.receivedAt,
      account: admitted.val,
      configuration: this.#options.watched.read().configuration,
      defaultTimeout: this.#options.defaultTimeout ?? defaultTimeout,
      maximumValues: this.#options.maximumBodyValues,
    });
    if (parsed.err) {
      this.#fail(caller, parsed.val);
      return;
    }
    this.#start(parsed.val, caller);
  }

  /** Makes the checks that do not need the body. */
  #admit(request: IncomingMessage): Result<Account, Failure> {
    if (this.#phase === 'stopping') {
      return new Err(createFailure('stopping', '', shortRetryAfter));
    }
    const account = this.#authenticate(request);
    if (account.err) {
      return account;
    }
    const { name, limits } = account.val;
    const running = this.#runningByAccount.get(name) ?? 0;
    const isFull = limits.concurrentRequests !== undefined && running >= limits.concurrentRequests;
    return isFull ? new Err(createFailure('accountLimit', name, shortRetryAfter)) : account;
  }

  #authenticate(request: IncomingMessage): Result<Account, Failure> {
    const { accounts } = this.#options.watched.read().configuration;
    const account = findAccount(request.headers.authorization, accounts);
    return account === undefined ? new Err(createFailure('unknownAccount', '')) : new Ok(account);
  }

  #parse(
    route: ForwardedRouteMatch,
    request: IncomingMessage,
    body: Buffer,
    context: ParseContext,
  ): Result<ParsedRequest, Failure> {
    return route.type === 'chat'
      ? parseChat(request, body, context)
      : parseService(request, body, context, route.path);
  }

  #start(request: ParsedRequest, caller: CallerRequest): void {
    if (caller.response.destroyed) {
      this.#fail(caller, createFailure('cancelled', ''));
      return;
    }
    const { account } = request.facts;
    this.#running += 1;
    this.#runningByAccount.set(account, (this.#runningByAccount.get(account) ?? 0) + 1);
    caller.run(
      new RequestRunner(request, caller, this.#dependencies, (outcome) => {
        this.#running -= 1;
        this.#runningByAccount.set(account, (this.#runningByAccount.get(account) ?? 1) - 1);
        this.#observe(outcome);
      }),
    );
  }

  #observe(outcome: RequestOutcome): void {
    const { metrics, observe } = this.#options;
    const { wanted } = outcome.request.facts.route;
    const target = wanted.type === 'model' ? wanted.model : wanted.service;
    const tags = { target, result: outcome.code };
    metrics.increment('gateway.requests', tags);
    metrics.timing('gateway.duration', outcome.duration, tags);
    if (outcome.firstBytes !== undefined) {
      metrics.timing('gateway.first_bytes', outcome.firstBytes, { target });
    }
    metrics.gauge('gateway.in_flight', this.#running);
    observe?.(outcome);
  }

  #fail(caller: CallerRequest, failure: Failure): void {
    this.#options.metrics.increment('gateway.refused', { result: failure.code });
    if (isBodyUnread(caller.request, failure)) {
      caller.response.shouldKeepAlive = false;
    }
    caller.fail(failure);
  }

  #now(): Milliseconds {
    return this.#options.clock.monotonic();
  }
}

export function createGateway(options: GatewayOptions): Gateway {
  return new Gateway(options);
}
