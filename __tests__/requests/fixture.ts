import { createServer as createHttp2Server, type Http2Server } from 'node:http2';
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createHash } from 'node:crypto';

import { connectNodeAdapter } from '@connectrpc/connect-node';
import { pino } from 'pino';
import { Ok } from 'ts-results';

import { InboundMemory, createRandomSource, systemClock } from '../../src/common/index.js';
import { configurationSchema } from '../../src/configuration/index.js';
import {
  createGateway,
  noMetrics,
  type ClaimClient,
  type Gateway,
  type GatewayOptions,
} from '../../src/gateway/index.js';
import type { Group, WatchedState, WatchedStateSource } from '../../src/model/index.js';
import {
  createAttemptService,
  HttpUpstreamClient,
  type AttemptService,
  type AttemptServiceOptions,
} from '../../src/sidecar/attempts/index.js';

export const callerKey = 'key-of-desk';
export const logger = pino({ level: process.env.PISTACHIOSPOKE_TEST_LOG ?? 'silent' });
export const incarnation = 'incarnation-1';

export const configuration = configurationSchema.parse({
  groups: [
    {
      name: 'assist',
      hosts: {},
      replicaSize: 1,
      carries: { model: 'assist-llm', version: '1', adapters: ['dairy'] },
      reachableBy: { accounts: { office: ['desk'] } },
    },
  ],
  services: [
    {
      name: 'rental-desk',
      hosts: {},
      reachableBy: { accounts: { office: ['desk'] } },
      nonIdempotentByDefault: true,
    },
  ],
  accounts: [
    {
      name: 'desk',
      labels: { office: 'desk' },
      keySha256: createHash('sha256').update(callerKey).digest('hex'),
    },
    {
      name: 'guest',
      keySha256: createHash('sha256').update('key-of-guest').digest('hex'),
    },
  ],
});

/** A watched state source that is set by the test. */
export class FakeWatched implements WatchedStateSource {
  #state: WatchedState = {
    revision: 1,
    configuration,
    groups: new Map(),
    isSynchronized: true,
  };

  readonly read = (): WatchedState => this.#state;
  readonly subscribe = (): (() => void) => () => undefined;
  readonly noticeRevision = (): void => undefined;

  set(groups: readonly Group[]): WatchedState {
    const entries = groups.map((group) => [group.name, { group, isServing: true }] as const);
    this.#state = { ...this.#state, groups: new Map(entries) };
    return this.#state;
  }
}

export function modelGroup(address: string, number = 1): Group {
  return {
    name: `assist/${number}`,
    declaration: 'assist',
    fencingNumber: 7,
    members: [{ host: `host-${number}`, address, incarnation }],
    offer: {
      type: 'model',
      artifact: { model: 'assist-llm', version: '1', adapters: ['dairy'] },
    },
    isDraining: false,
  };
}

export function serviceGroup(address: string): Group {
  return {
    ...modelGroup(address),
    name: 'rental-desk/1',
    declaration: 'rental-desk',
    offer: { type: 'service', service: 'rental-desk' },
  };
}

/** Accepts every claim and records the settled outcomes. */
export class FakeClaims implements ClaimClient {
  readonly settled: string[] = [];
  readonly claim: ClaimClient['claim'] = () => Promise.resolve(Ok({ type: 'claimed' as const }));
  readonly settle: ClaimClient['settle'] = (settlement) => {
    this.settled.push(settlement.outcome);
    return Promise.resolve(Ok({ type: 'settled' as const }));
  };
}

/** Runs cleanup steps in reverse order. */
export class Cleanup {
  readonly #steps: (() => Promise<void> | void)[] = [];

  add(step: () => Promise<void> | void): void {
    this.#steps.push(step);
  }

  async run(): Promise<void> {
    for (const step of this.#steps.reverse()) {
      await step();
    }
  }
}

/** A sidecar's attempt service behind a real HTTP/2 server. */
export interface TestSidecar {
  readonly service: AttemptService;
  readonly address: string;
  /** Destroys all connections and stops listening. */
  readonly kill: () => void;
}

export async function startUpstream(listener: RequestListener, cleanup: Cleanup): Promise<string> {
  const server: Server = createServer(listener);
  await listen(server);
  cleanup.add(() => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${portOf(server)}`;
}

export async function startSidecar(
  upstreamUrl: string,
  readGroup: AttemptServiceOptions['readGroup'],
  cleanup: Cleanup,
  overrides: Partial<AttemptServiceOptions> = {},
): Promise<TestSidecar> {
  const upstream = new HttpUpstreamClient(() => upstreamUrl);
  const service = createAttemptService({
    incarnation,
    clock: systemClock,
    logger,
    readGroup,
    confirmWhole: () => Promise.resolve(true),
    readRevision: () => 1,
    upstream,
    ...overrides,
  });
  service.open();
  const adapter = connectNodeAdapter({
    routes: (router) => {
      service.register(router);
    },
  });
  const server: Http2Server = createHttp2Server(adapter);
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await listen(server);
  const kill = (): void => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
    service.close();
  };
  cleanup.add(async () => {
    kill();
    await upstream.close();
  });
  return { service, address: `127.0.0.1:${portOf(server)}`, kill };
}

export async function startGateway(
  watched: WatchedStateSource,
  cleanup: Cleanup,
  overrides: Partial<GatewayOptions> = {},
): Promise<{ readonly gateway: Gateway; readonly url: string }> {
  const gateway = createGateway({
    name: 'gateway-1',
    address: '127.0.0.1:0',
    watched,
    claims: new FakeClaims(),
    clock: systemClock,
    random: createRandomSource(1),
    logger,
    metrics: noMetrics,
    inbound: new InboundMemory(4_000_000, systemClock),
    maximumConnections: 100,
    maximumBodyBytes: 1_000_000,
    maximumBodyValues: 100_000,
    maximumAnswerBytes: 1_000_000,
    drain: { unreadyPeriod: 0, hardLimit: 0 },
    ...overrides,
  });
  await gateway.open();
  const url = `http://127.0.0.1:${gateway.port}`;
  cleanup.add(() => gateway.close());
  return { gateway, url };
}

export function admit(group: Group, concurrency = 4): AttemptServiceOptions['readGroup'] {
  return (name) =>
    name === group.name
      ? { group, isWhole: () => true, isDraining: false, concurrency }
      : undefined;
}

export function chat(
  url: string,
  body: object,
  headers: Record<string, string> = {},
  signal?: AbortSignal,
): Promise<Response> {
  return fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${callerKey}`,
      'content-type': 'application/json',
      ...headers,
    },
    body: JSON.stringify({
      model: 'assist-llm',
      messages: [{ role: 'user', content: 'hi' }],
      ...body,
    }),
    ...(signal === undefined ? {} : { signal }),
  });
}

function portOf(server: { readonly address: () => unknown }): number {
  return (server.address() as AddressInfo).port;
}

function listen(server: Server | Http2Server): Promise<void> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
}
