import type { Logger } from 'pino';

import {
  createIdentifier,
  createMetrics,
  InboundMemory,
  type Clock,
  type ManagedPart,
  type Milliseconds,
  type RandomSource,
} from '../../common/index.js';
import { ControlClient } from '../../control/index.js';
import type { GatewaySettings } from '../../settings/index.js';
import { ControlWatcher, RoutingWatcher } from '../../watch/index.js';
import { createRpcServer, RpcClientPool } from '../../wire/index.js';
import { CrashLedger, createCrashReporter } from '../crashes/index.js';
import { createGateway } from './gateway.js';
import { LogClaimClient } from './log-claim-client.js';
import { ServiceLevels } from './service-levels.js';

/** Messages to a gateway only ask for something. */
const maximumMessageBytes = 64 * 1024;
/** How long one control host may take for a claim before the next one is asked. */
const claimTimeout: Milliseconds = 2000;

export interface GatewayProcessOptions {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Creates the parts of a gateway process, in the order in which they open. */
export function createGatewayParts(options: GatewayProcessOptions): readonly ManagedPart[] {
  const { settings, clock, random, logger } = options;
  const { name, control, internal, limits, shutdown } = settings;
  const inbound = new InboundMemory(settings.inbound.memoryBytes, clock);
  const clients = new RpcClientPool();
  const metrics = createMetrics(settings.metrics, { gateway: name });
  const watched = new ControlWatcher({
    watcher: name,
    kind: 'gateway',
    address: internal,
    control,
    clients,
    logger,
    random,
  });
  const controlClient = new ControlClient({ control, clients, timeout: claimTimeout, random });
  const levels = new ServiceLevels(name, clock, () => watched.read().configuration);
  // Connections of its own: a routing watch that falls silent retires its connection, and would end claims that wait on the same one.
  const routingClients = new RpcClientPool();
  const crashLedger = new CrashLedger(createIdentifier());
  const routing = new RoutingWatcher({
    watcher: name,
    kind: 'gateway',
    control,
    clients: routingClients,
    clock,
    logger,
    random,
  });
  routing.subscribe((view) => {
    crashLedger.applyView(view, clock.monotonic());
  });
  const gateway = createGateway({
    name,
    crashLedger,
    address: settings.listen,
    watched,
    claims: new LogClaimClient(controlClient),
    clock,
    random,
    logger,
    metrics,
    inbound,
    maximumConnections: settings.inbound.connections,
    maximumBodyBytes: limits.maximumBodyBytes,
    maximumBodyValues: limits.maximumBodyValues,
    maximumAnswerBytes: limits.maximumAnswerBytes,
    defaultTimeout: limits.requestTimeoutMilliseconds,
    drain: {
      unreadyPeriod: shutdown.graceMilliseconds,
      hardLimit: shutdown.hardLimitMilliseconds,
    },
    observe: (outcome) => {
      levels.observe(outcome);
    },
  });
  const server = createRpcServer({
    address: internal,
    inbound,
    maximumCalls: settings.inbound.calls,
    maximumMessageBytes,
    routes: (router) => {
      levels.register(router);
    },
  });
  return [
    { name: 'metrics', open: () => undefined, close: () => metrics.close() },
    {
      name: 'connections',
      open: () => undefined,
      close: () => {
        clients.close();
        routingClients.close();
      },
    },
    watched,
    routing,
    createCrashReporter({
      gateway: name,
      ledger: crashLedger,
      findLeader: () => routing.read().leader,
      clients: routingClients,
      clock,
      logger,
    }),
    server,
    gateway,
  ];
}
