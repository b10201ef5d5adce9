/** What the decisions cost: processor time of a step, memory of an attempt and of a request. */
import { createRandomSource } from '../../src/common/index.js';
import {
  defaultRequestLimits,
  LoadTracker,
  RequestController,
  RetryBudget,
  Router,
  type RequestFacts,
  type RequestDependencies,
} from '../../src/gateway/index.js';
import { formatAttemptName, type AttemptOrder, type WatchedState } from '../../src/model/index.js';
import { AttemptController, createRequestId } from '../../src/sidecar/attempts/index.js';
import { formatFigure, formatMarkdownTable, reportProgress } from '../support/index.js';
import { createWorld } from './workload.js';

const rounds = 20_000;
const tokens = 20;
/** One token as a server-sent event. */
const token = Buffer.from(`data: ${'x'.repeat(150)}\n\n`);
const load = { running: 1, queued: 0, capacity: 64 };
const streamHeaders = [{ name: 'content-type', value: 'text/event-stream' }];
const groups = 8;

/** Cost of the decisions for one streamed request and for each of its tokens. */
export function measureCores(): string {
  reportProgress('cost of the decisions');
  const shared = createSurroundings();
  const rows = [
    [
      'gateway',
      ...formatCosts((withTokens) => {
        playRequest(shared, withTokens);
      }),
    ],
    ['sidecar', ...formatCosts(createAttemptPlayer())],
  ];
  return formatMarkdownTable(['decisions', 'us / request', 'us / token more'], rows);
}

/** Live heap of what is held for many attempts. */
export function measureMemory(): string {
  reportProgress('memory of attempts');
  const shared = createSurroundings();
  const rows = [
    ['gateway: request under way, no bytes yet', measureHeap(() => holdRequests(shared))],
    ['sidecar: attempt running, no bytes yet', measureHeap(() => holdAttempts('running', 0))],
    ['sidecar: attempt running, 20 tokens', measureHeap(() => holdAttempts('running', tokens))],
    ['sidecar: attempt over, bytes let go', measureHeap(() => holdAttempts('forgotten', tokens))],
  ];
  return formatMarkdownTable(['held for one', 'bytes of heap and buffers'], rows);
}

function formatCosts(play: (withTokens: number) => void): readonly string[] {
  measureTime(() => {
    play(tokens);
  });
  const bare = measureTime(() => {
    play(0);
  });
  const full = measureTime(() => {
    play(tokens);
  });
  return [formatFigure(bare), formatFigure((full - bare) / tokens)];
}

/** Processor time of one call, in microseconds. */
function measureTime(run: () => void): number {
  const before = process.cpuUsage();
  for (let round = 0; round < rounds; round += 1) {
    run();
  }
  const { user, system } = process.cpuUsage(before);
  return (user + system) / rounds;
}

/** Bytes for each of `rounds` things that are held. */
function measureHeap(hold: () => unknown): string {
  // Once before, so that code and tables are there already.
  hold();
  const before = readMemory();
  const held = hold();
  const after = readMemory();
  return held === undefined ? '-' : formatFigure((after - before) / rounds);
}

function readMemory(): number {
  // The first collection runs finalizers whose objects only the second one takes.
  globalThis.gc?.();
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function createSurroundings(): RequestDependencies {
  const state: WatchedState = createWorld('pistachiospoke', {
    seed: 1,
    gateways: 1,
    sidecars: groups,
    concurrency: 64,
  }).state;
  const loads = new LoadTracker();
  return {
    loads,
    router: new Router(() => state, loads),
    retryBudget: new RetryBudget(),
    random: createRandomSource(1),
    limits: defaultRequestLimits,
  };
}

function createRequest(shared: RequestDependencies): RequestController {
  const facts: RequestFacts = {
    id: createRequestId(1, 'request'),
    account: 'small',
    accountWeight: 1,
    priority: 5,
    isNonIdempotent: false,
    claim: undefined,
    deadline: 100_000,
    route: {
      wanted: { type: 'model', model: 'assist-llm', version: undefined, adapter: undefined },
      account: 'small',
      affinityKey: 'prefix',
    },
  };
  return new RequestController(facts, shared);
}

function playRequest(shared: RequestDependencies, withTokens: number): void {
  const request = createRequest(shared);
  request.handle({ type: 'arrived', now: 0 });
  request.handle({ type: 'accepted', stream: 1, now: 1, load });
  request.handle({ type: 'head', stream: 1, now: 2, status: 200, headers: streamHeaders });
  for (let index = 0; index < withTokens; index += 1) {
    const offset = index * token.length;
    request.handle({ type: 'data', stream: 1, now: 3, offset, bytes: token });
  }
  const ended = { totalBytes: withTokens * token.length, code: 'ok', retryAfter: 0 } as const;
  request.handle({ type: 'ended', stream: 1, now: 4, ...ended });
}

function createAttemptPlayer(): (withTokens: number) => void {
  const attempts = new AttemptController('incarnation');
  let number = 0;
  return (withTokens) => {
    number += 1;
    startAttempt(attempts, number);
    sendTokens(attempts, number, withTokens);
    endAttempt(attempts, number);
  };
}

function holdRequests(shared: RequestDependencies): unknown {
  return Array.from({ length: rounds }, () => {
    const request = createRequest(shared);
    request.handle({ type: 'arrived', now: 0 });
    return request;
  });
}

function holdAttempts(state: 'running' | 'forgotten', withTokens: number): unknown {
  const attempts = new AttemptController('incarnation');
  for (let number = 1; number <= rounds; number += 1) {
    startAttempt(attempts, number);
    sendTokens(attempts, number, withTokens);
    if (state === 'forgotten') {
      endAttempt(attempts, number);
    }
  }
  if (state === 'forgotten') {
    // Past the window in which an ended answer can be taken up again.
    attempts.handle({ type: 'tick', now: 60_000 });
  }
  return attempts;
}

function startAttempt(attempts: AttemptController, number: number): void {
  const group = { fencingNumber: 1, isWhole: true, isDraining: false, concurrency: rounds };
  attempts.handle({
    type: 'arrived',
    now: 0,
    wallNow: 1,
    subscriber: number,
    order: createOrder(number),
    group,
    revision: 1,
  });
  const key = keyOf(number);
  attempts.handle({ type: 'confirmed', now: 0, key, code: 'ok' });
  attempts.handle({ type: 'upstreamHead', now: 0, key, status: 200, headers: streamHeaders });
}

function sendTokens(attempts: AttemptController, number: number, count: number): void {
  const key = keyOf(number);
  for (let index = 0; index < count; index += 1) {
    attempts.handle({ type: 'upstreamData', now: 0, key, bytes: Buffer.from(token) });
  }
}

function endAttempt(attempts: AttemptController, number: number): void {
  attempts.handle({ type: 'upstreamEnded', now: 0, key: keyOf(number), code: 'ok' });
}

function createOrder(number: number): AttemptOrder {
  return {
    name: {
      requestId: createRequestId(1, `request-${number}`),
      attempt: 1,
      incarnation: 'incarnation',
    },
    group: 'assist/1',
    fencingNumber: 1,
    configurationRevision: 1,
    remaining: 1_000_000,
    account: 'small',
    accountWeight: 1,
    priority: 5,
    isNonIdempotent: false,
  };
}

function keyOf(number: number): string {
  return formatAttemptName(createOrder(number).name);
}
