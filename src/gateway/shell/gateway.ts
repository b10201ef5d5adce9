import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import { Err, Ok, type Result } from 'ts-results';

import {
  assertNever,
  createFailure,
  createIdentifier,
  openServer,
  type Failure,
  type ManagedPart,
  type Milliseconds,
} from '../../common/index.js';
import type { Account, RequestId } from '../../model/index.js';
import { createRequestId } from '../../sidecar/attempts/index.js';
import { defaultRequestLimits } from '../limits.js';
import { LoadTracker } from '../load-tracker.js';
import { listModelNames } from '../reach.js';
import { RetryBudget } from '../retry-budget.js';
import { Router } from '../router.js';
import { findAccount } from './accounts.js';
import { AttemptConnections } from './attempt-connections.js';
import { readBody } from './body.js';
import { CallerAnswer } from './caller-answer.js';
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

type ForwardedRouteMatch = Extract<RouteMatch, { readonly type: 'chat' | 'service' }>;

/** The HTTP server for callers, with the requests in flight. */
export class Gateway implements ManagedPart {
  readonly name = 'gateway';
  readonly #options: GatewayOptions;
  readonly #server: Server;
  readonly #connections = new AttemptConnections();
  readonly #dependencies: RunnerDependencies;
  readonly #runners = new Set<RequestRunner>();
  readonly #runningByAccount = new Map<string, number>();
  #phase: 'serving' | 'unready' | 'stopping' = 'serving';
  #timer: NodeJS.Timeout | undefined;
  #loads = new LoadTracker();
  #unsubscribe: (() => void) | undefined;

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
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
    return this.#runners.size;
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
      this.#tick();
    }, tickInterval);
  }

  /** Shuts down gracefully: reports unready, then refuses new requests and waits for those in flight up to a limit. */
  async close(): Promise<void> {
    const { unreadyPeriod, hardLimit } = this.#options.drain ?? defaultDrainLimits;
    const end = this.#now() + unreadyPeriod + hardLimit;
    this.#phase = 'unready';
    await pause(unreadyPeriod);
    this.#phase = 'stopping';
    this.#server.close();
    this.#server.closeIdleConnections();
    while (this.#runners.size > 0 && this.#now() < end) {
      await pause(tickInterval);
    }
    this.#logAbortedRequests();
    clearInterval(this.#timer);
    this.#unsubscribe?.();
    this.#server.closeAllConnections();
    this.#connections.close();
  }

  #logAbortedRequests(): void {
    if (this.#runners.size > 0) {
      const requests = [...this.#runners].map(({ description }) => description);
      this.#options.logger.warn(
        { requests },
        'shutdown hard limit reached; aborting requests in flight',
      );
    }
  }

  #tick(): void {
    for (const runner of this.#runners) {
      runner.tick();
    }
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = createRequestId(this.#options.clock.wall(), createIdentifier());
    const route = matchRoute(request.method ?? 'GET', request.url ?? '/');
    try {
      await this.#answer(route, id, request, response);
    } catch (error) {
      this.#options.logger.error({ err: error, requestId: id }, 'request failed');
      this.#fail(response, id, createFailure('internal', ''));
    }
  }

  async #answer(
    route: RouteMatch,
    id: RequestId,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    switch (route.type) {
      case 'live':
        sendText(response, 200, 'live\n');
        return;
      case 'ready':
        this.#answerReady(response);
        return;
      case 'unknown':
        this.#fail(response, id, createFailure('unknownPath', request.url ?? ''));
        return;
      case 'wrongMethod':
        response.setHeader('allow', route.allowed);
        this.#fail(response, id, createFailure('unsupportedMethod', request.method ?? ''));
        return;
      case 'models':
        this.#answerModels(id, request, response);
        return;
      case 'chat':
      case 'service':
        await this.#answerRequest(route, id, request, response);
        return;
      default:
        assertNever(route);
    }
  }

  #answerReady(response: ServerResponse): void {
    const isReady = this.#phase === 'serving' && this.#options.watched.read().isSynchronized;
    sendText(response, isReady ? 200 : 503, isReady ? 'ready\n' : 'not ready\n');
  }

  #answerModels(id: RequestId, request: IncomingMessage, response: ServerResponse): void {
    const account = this.#authenticate(request);
    if (account.err) {
      this.#fail(response, id, account.val);
      return;
    }
    const names = listModelNames(this.#options.watched.read(), account.val);
    const data = names.map((name) => ({ id: name, object: 'model', owned_by: 'pistachiospoke' }));
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ object: 'list', data }));
  }

  async #answerRequest(
    route: ForwardedRouteMatch,
    id: RequestId,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const admitted = this.#admit(request);
    if (admitted.err) {
      this.#fail(response, id, admitted.val);
      return;
    }
    const body = await readBody(request, this.#options.maximumBodyBytes);
    if (body.err) {
      this.#fail(response, id, body.val);
      return;
    }
    const parsed = this.#parse(route, request, body.val, {
      id,
      now: this.#now(),
      account: admitted.val,
      configuration: this.#options.watched.read().configuration,
      defaultTimeout: this.#options.defaultTimeout ?? defaultTimeout,
    });
    if (parsed.err) {
      this.#fail(response, id, parsed.val);
      return;
    }
    this.#start(parsed.val, response);
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

  #start(request: ParsedRequest, response: ServerResponse): void {
    const { account } = request.facts;
    const runner = new RequestRunner(request, response, this.#dependencies, (outcome) => {
      this.#runners.delete(runner);
      this.#runningByAccount.set(account, (this.#runningByAccount.get(account) ?? 1) - 1);
      this.#observe(outcome);
    });
    this.#runners.add(runner);
    this.#runningByAccount.set(account, (this.#runningByAccount.get(account) ?? 0) + 1);
    runner.start();
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
    metrics.gauge('gateway.in_flight', this.#runners.size);
    observe?.(outcome);
  }

  #fail(response: ServerResponse, id: RequestId, failure: Failure): void {
    this.#options.metrics.increment('gateway.refused', { result: failure.code });
    if (this.#phase === 'stopping' || failure.code === 'bodyTooLarge') {
      response.setHeader('connection', 'close');
    }
    new CallerAnswer(response, id).fail(failure);
  }

  #now(): Milliseconds {
    return this.#options.clock.monotonic();
  }
}

export function createGateway(options: GatewayOptions): Gateway {
  return new Gateway(options);
}

function sendText(response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'content-type': 'text/plain' });
  response.end(text);
}
