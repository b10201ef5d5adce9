/** Steps of the request path: gateway, router, sidecar. */
import { RequestController, Router, LoadTracker } from '../../src/gateway/index.js';
import type { Group, GroupName, WatchedGroup, WatchedState } from '../../src/model/index.js';
import { AttemptController, defaultAttemptLimits } from '../../src/sidecar/attempts/index.js';
import { createLargeConfiguration } from '../capacity/fixtures.js';
import { World, worldAccounts, type WorldRequest } from '../requests/world.js';
import { formatFigure } from '../support/index.js';
import { createStepRow, measureRepeatedly, StepMeter } from './step-meter.js';

const requests = 4000;
const warmUpRequests = 400;
const tokens = 64;
const tokenInterval = 42;
const tickInterval = 50;
const groupCount = 150;
const routeRepeats = 5000;

/** Streamed answers of 64 tokens over fakes of the network and the engine; ticks of every process are left out. */
export function measureRequestSteps(): readonly (readonly string[])[] {
  const request = new StepMeter();
  const attempt = new StepMeter();
  const ticks = new StepMeter();
  const world = new World({
    seed: 1,
    gateways: 1,
    sidecars: 4,
    concurrency: requests,
    createRequest: (facts, surroundings) =>
      request.wrap(new RequestController(facts, surroundings)),
    createAttempts: (incarnation) => {
      const attempts = new AttemptController(incarnation, defaultAttemptLimits);
      return {
        handle: (event) =>
          (event.type === 'tick' ? ticks : attempt).measure(() => attempts.handle(event)),
      };
    },
  });
  runRequests(world, warmUpRequests);
  [request, attempt, ticks].forEach((meter) => {
    meter.reset();
  });
  runRequests(world, requests);
  const perRequest = (meter: StepMeter) =>
    `${formatFigure(meter.steps / requests)} steps, ${formatFigure((meter.steps * meter.microseconds) / requests)} us a request`;
  return [
    createStepRow('request controller', request, perRequest(request)),
    createStepRow('attempt controller', attempt, perRequest(attempt)),
  ];
}

/** One choice among 150 groups of one model. */
export function measureRouterStep(): readonly string[] {
  const state = createWatchedState(groupCount);
  const router = new Router(() => state, new LoadTracker());
  const account = state.configuration.accounts[0]?.name ?? '';
  const meter = measureRepeatedly(routeRepeats, (turn) =>
    router.choose(
      {
        wanted: { type: 'model', model: 'assist', version: undefined, adapter: undefined },
        account,
        affinityKey: `key-${turn}`,
      },
      new Set(),
      turn,
    ),
  );
  return createStepRow(`router, ${groupCount} groups`, meter, 'one step an attempt');
}

/** What a gateway knows of so many groups. */
export function createWatchedState(groups: number): WatchedState {
  const watched = Array.from({ length: groups }, (_, index): [GroupName, WatchedGroup] => {
    const group = createGroup(index);
    return [group.name, { group, isServing: true }];
  });
  return {
    revision: 1,
    configuration: createLargeConfiguration(),
    groups: new Map(watched),
    isSynchronized: true,
  };
}

function createGroup(index: number): Group {
  const numbers = [0, 1, 2, 3].map((position) => index * 4 + position);
  return {
    name: `assist-llm/${index}`,
    declaration: 'assist-llm',
    fencingNumber: index + 1,
    members: numbers.map((number) => ({
      host: `llm-host-${number}`,
      address: `10.1.${Math.floor(number / 250)}.${(number % 250) + 1}:8500`,
      incarnation: `incarnation-${number}`,
    })),
    offer: { type: 'model', artifact: { model: 'assist', version: '1', adapters: [] } },
    isDraining: false,
  };
}

function runRequests(world: World, count: number): void {
  const start = world.loop.now;
  for (let number = 0; number < count; number += 1) {
    world.submit(createRequest(number));
  }
  world.run(start + tokens * tokenInterval * 2, tickInterval);
}

function createRequest(number: number): WorldRequest {
  return {
    gateway: 0,
    account: worldAccounts[number % worldAccounts.length] ?? '',
    isNonIdempotent: false,
    key: undefined,
    timeout: 60_000,
    work: {
      contentType: 'text/event-stream',
      firstChunkAfter: tokenInterval,
      chunkInterval: tokenInterval,
      chunks: tokens,
    },
    affinityKey: `key-${number}`,
  };
}
